package peer

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// With TCP_USER_TIMEOUT set, that option and not the number of probes decides when a
// silent connection ends. A connection between VMs has probes only.
func TestConnectionsHaveProbesAndNoUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := NewUnsigned("vm").dial(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	raw, err := dialed.(countedConn).Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	probes, timeout := 0, 0
	_ = raw.Control(func(fd uintptr) {
		probes, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		timeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if probes != 1 || timeout != 0 {
		t.Errorf("probes %d, user timeout %d ms", probes, timeout)
	}
}
