// Package closedport keeps ports on which nothing listens, so that connections to them
// are refused and no other process comes to listen there.
package closedport

import (
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

var loopback = [4]byte{127, 0, 0, 1}

// New returns an address of 127.0.0.1 whose port is taken until the test ends.
func New(t testing.TB) (address string) {
	t.Helper()
	port, _ := take(t, 0)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

// Close closes a listener on 127.0.0.1. Its port stays taken until release is called or
// the test ends.
func Close(t testing.TB, listener net.Listener) (release func()) {
	t.Helper()
	port := netip.MustParseAddrPort(listener.Addr().String()).Port()
	listener.Close()
	_, release = take(t, int(port))
	return release
}

// take binds a socket that doesn't listen to a port, or to any if that is 0.
func take(t testing.TB, port int) (taken int, release func()) {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	release = sync.OnceFunc(func() { _ = unix.Close(socket) })
	t.Cleanup(release)
	// Connections of a closed listener may still linger.
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Port: port, Addr: loopback}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return bound.(*unix.SockaddrInet4).Port, release
}
