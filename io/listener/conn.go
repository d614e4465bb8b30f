package listener

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// backgroundReadBytes is the size of the reads by which net/http detects, while a
// handler runs, that the peer has closed the connection. A byte that such a read
// returns belongs to the next request.
const backgroundReadBytes = 1

// conn is a connection that tracks its state and whether a request has begun on it.
type conn struct {
	net.Conn
	socket     syscall.RawConn // nil if the connection has no socket to poll
	acceptedAt time.Time

	mu           sync.Mutex
	state        http.ConnState
	requestBegun bool // bytes of a request have been read since the connection was last idle
	nextBegun    bool // bytes of the next request were read while one was being answered
}

func newConn(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, acceptedAt: time.Now()}
	if system, can := accepted.(syscall.Conn); can {
		c.socket, _ = system.SyscallConn()
	}
	return c
}

// Read reads from the connection and records that a request has begun.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.requestBegun = true
		c.nextBegun = c.nextBegun || (c.state == http.StateActive && len(p) == backgroundReadBytes)
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the sending side. net/http looks for this method and uses it to
// close a connection without a TCP reset, which could destroy the answer.
func (c *conn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection as it was accepted.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.requestBegun, c.nextBegun = c.nextBegun, false
	}
}

// closable reports whether no request runs, has been read in part or waits in the
// socket's buffer. A new connection also gets firstRequestTimeout.
func (c *conn) closable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.requestBegun || c.state == http.StateActive:
		return false
	case c.state == http.StateNew && now.Sub(c.acceptedAt) < firstRequestTimeout:
		return false
	}
	return c.socket == nil || !readable(c.socket)
}
