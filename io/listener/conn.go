package listener

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// watchBytes is the size of the reads with which the HTTP server watches for the
// peer to leave while it answers. What such a read brings is the next request.
const watchBytes = 1

// conn is a connection whose state is followed.
type conn struct {
	net.Conn
	socket syscall.RawConn // nil where the system can't be asked
	made   time.Time

	mu    sync.Mutex
	state http.ConnState
	begun bool // bytes of a request have been read that the server hasn't taken in
	early bool // the same, while the request before was being answered
}

func newConn(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, made: time.Now()}
	if system, can := accepted.(syscall.Conn); can {
		c.socket, _ = system.SyscallConn()
	}
	return c
}

// Read notes that a request has begun.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.begun = true
		c.early = c.early || (c.state == http.StateActive && len(p) == watchBytes)
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite ends the answers; the HTTP server needs it to close a connection
// without a reset.
func (c *conn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) to(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.begun, c.early = c.early, false
	}
}

// unused tells whether no request runs, has been read in part or waits to be
// read.
func (c *conn) unused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.begun || c.state == http.StateActive:
		return false
	case c.state == http.StateNew && now.Sub(c.made) < firstRequestWithin:
		return false
	}
	return c.socket == nil || !readable(c.socket)
}
