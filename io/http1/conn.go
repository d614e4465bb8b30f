package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Conn is the connection of a client. It fails where net/http would read another answer than
// its sender meant: at a malformed head, and at a reset that looks like an end in order. One
// goroutine may read and another write.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner

	writing  sync.Mutex // held by each Write
	writeErr error      // of the first Write that failed by itself
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
	c.head.begin()
}

// Read reads bytes that begin or continue an answer. It returns io.EOF only if the peer has
// ended the connection in order.
func (c *Conn) Read(into []byte) (n int, err error) {
	n, err = c.Conn.Read(into)
	if err := c.check(into[:n]); err != nil {
		return 0, err
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failed := c.endWriting(); failed != nil {
		return n, fmt.Errorf("the connection broke off while the request was sent: %w", failed)
	}
	return n, err
}

func (c *Conn) check(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan(read)
}

// Write writes a part of a request.
func (c *Conn) Write(from []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(from)
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// endWriting interrupts a Write that waits for its peer, and returns the error of the first
// one that failed by itself. An operating system reports a reset once: if a Write has got it,
// a Read sees an end in order.
func (c *Conn) endWriting() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}
