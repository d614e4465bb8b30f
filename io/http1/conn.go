package http1

import (
	"net"
	"sync"
)

// Conn is the connection of a client. It fails when a malformed head comes, of which net/http
// would read another answer than its sender meant. One goroutine may read and another write.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner
}

// NewConn returns a connection that has carried no request yet.
func NewConn(raw net.Conn) *Conn {
	return &Conn{Conn: raw}
}

// ExpectHead must be called before each request is sent: the bytes that come next are the
// head of the answer.
func (c *Conn) ExpectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{part: statusLine}
}

// Read reads bytes that begin or continue an answer.
func (c *Conn) Read(into []byte) (n int, err error) {
	n, err = c.Conn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	if malformed := c.head.scan(into[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}
