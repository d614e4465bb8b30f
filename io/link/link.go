// Package link counts the bytes that a VM's network link carries, by purpose, on the
// connections that it wraps, and keeps the budget for new work up to date.
package link

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"kingcuprill/core/linkbudget"
)

// Purpose is what a connection is used for.
type Purpose int32

// The purposes of connections.
const (
	Callers Purpose = iota
	Targets
	Forwarded // requests from and to other entry VMs
	Control   // control VMs, coordination and look-ups
	purposes
)

var names = [purposes]string{"callers", "targets", "forwarded", "control"}

// Counters counts bytes with the estimated overhead of their packets. A nil Counters counts
// nothing and wraps nothing. It is safe for concurrent use.
type Counters struct {
	bytes [purposes][linkbudget.Directions]atomic.Int64
}

// Bytes returns the bytes of a purpose in a direction.
func (c *Counters) Bytes(p Purpose, direction int) int64 {
	return c.bytes[p][direction].Load()
}

// Total returns the bytes of all purposes, by direction.
func (c *Counters) Total() (total [linkbudget.Directions]int64) {
	for p := range purposes {
		for d := range total {
			total[d] += c.Bytes(p, d)
		}
	}
	return total
}

func (c *Counters) add(p Purpose, direction int, payload int) {
	with, against := linkbudget.OnWire(int64(payload))
	c.bytes[p][direction].Add(with)
	c.bytes[p][linkbudget.Directions-1-direction].Add(against)
}

// Wrap returns a function that makes connections count for a purpose, or nil.
func (c *Counters) Wrap(p Purpose) func(net.Conn) net.Conn {
	if c == nil {
		return nil
	}
	return func(raw net.Conn) net.Conn {
		wrapped := &conn{Conn: raw, counters: c}
		wrapped.purpose.Store(int32(p))
		for d := range linkbudget.Directions {
			c.bytes[p][d].Add(linkbudget.SetupBytes)
		}
		return wrapped
	}
}

// WrapListener returns a function that makes accepted connections count for a purpose, or nil.
func (c *Counters) WrapListener(p Purpose) func(net.Listener) net.Listener {
	if c == nil {
		return nil
	}
	return func(l net.Listener) net.Listener { return countingListener{Listener: l, wrap: c.Wrap(p)} }
}

type countingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept waits for a connection and wraps it.
func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(accepted), nil
}

// conn counts what is read and written. It has no ReadFrom, which would pass by Write.
type conn struct {
	net.Conn
	counters *Counters
	purpose  atomic.Int32
}

// Read reads from the connection and counts.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.counters.add(Purpose(c.purpose.Load()), linkbudget.In, n)
	return n, err
}

// Write writes to the connection and counts.
func (c *conn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.counters.add(Purpose(c.purpose.Load()), linkbudget.Out, n)
	return n, err
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn returns the socket of the connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if system, can := c.Conn.(syscall.Conn); can {
		return system.SyscallConn()
	}
	return nil, syscall.EINVAL
}

type connKey struct{}

// ConnContext adds a connection to the contexts of its requests, for SetPurpose. It is for
// http.Server.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	if wrapper, can := accepted.(interface{ NetConn() net.Conn }); can {
		accepted = wrapper.NetConn()
	}
	if counted, can := accepted.(*conn); can {
		return context.WithValue(ctx, connKey{}, counted)
	}
	return ctx
}

// SetPurpose makes the connection of a request count for a purpose from now on. On the
// address for other VMs, only the request tells what a connection is for.
func SetPurpose(r *http.Request, p Purpose) {
	if counted, found := r.Context().Value(connKey{}).(*conn); found {
		counted.purpose.Store(int32(p))
	}
}
