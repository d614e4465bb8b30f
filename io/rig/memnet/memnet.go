// Package memnet is a network in memory, for tests in virtual time: a goroutine that waits
// for it lets the time of testing/synctest go on.
package memnet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
)

// Network holds the listeners and connections of one test. The zero value is ready for use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []net.Conn
	last      int // number of the last address
	dials     map[string]int
}

// Listen returns a listener at an address, or at one of its own if that is empty.
func (n *Network) Listen(at string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	if at == "" {
		n.last++
		at = fmt.Sprintf("192.0.2.%d:80", n.last)
	}
	l := &listener{network: n, address: address(at), arrived: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[l.address.String()] = l
	return l
}

// Serve returns a server of HTTP at an address of its own. Its Close must be called.
func (n *Network) Serve(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Listener.Close()
	server.Listener = n.Listen("")
	server.Start()
	return server
}

// Dial connects to a listener. Connections to other addresses are refused.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	if n.dials == nil {
		n.dials = map[string]int{}
	}
	n.dials[address]++
	l, found := n.listeners[address]
	n.mu.Unlock()
	if !found {
		return nil, refused(address)
	}
	here, there := net.Pipe()
	n.keep(here, there)
	select {
	case l.arrived <- there:
		return here, nil
	case <-l.closed:
		return nil, refused(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials returns how often an address was dialed.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

func refused(address string) error {
	return fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
}

func (n *Network) keep(conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, conns...)
}

// Close closes all listeners and connections.
func (n *Network) Close() {
	n.mu.Lock()
	listeners, conns := n.listeners, n.conns
	n.listeners = nil
	n.mu.Unlock()
	for _, l := range listeners {
		l.end()
	}
	for _, conn := range conns {
		conn.Close()
	}
}

type listener struct {
	network *Network
	address address
	arrived chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) end() {
	l.once.Do(func() { close(l.closed) })
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.arrived:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close lets further connections be refused. Those that are open live on.
func (l *listener) Close() error {
	l.network.mu.Lock()
	delete(l.network.listeners, l.address.String())
	l.network.mu.Unlock()
	l.end()
	return nil
}

// Addr returns the address to dial.
func (l *listener) Addr() net.Addr {
	return l.address
}

type address string

// Network returns the name of a network.
func (address) Network() string {
	return "tcp"
}

// String returns the address to dial.
func (a address) String() string {
	return string(a)
}
