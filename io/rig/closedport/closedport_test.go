package closedport

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

func refused(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func TestPortsAreKept(t *testing.T) {
	address := New(t)
	if !refused(address) {
		t.Error("a new port doesn't refuse connections")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	open := listener.Addr().String()
	if refused(open) {
		t.Fatal("the listener refuses connections")
	}
	release := Close(t, listener)
	if !refused(open) {
		t.Error("a closed listener's port doesn't refuse connections")
	}
	for range 20_000 { // more than there are ports to choose from in a row
		other, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if got := other.Addr().String(); got == address || got == open {
			t.Fatalf("%s is given away", got)
		}
		other.Close()
	}
	release()
	again, err := net.Listen("tcp", open)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}
