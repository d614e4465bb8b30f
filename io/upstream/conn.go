package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBuffer  = 4 << 10 // bytes
	writeBuffer = 4 << 10 // bytes
	// unacknowledged is how long sent bytes may stay without an acknowledgement
	// before the connection counts as broken.
	unacknowledged = 3 * time.Second
)

// ErrForeign tells that the answer belongs to another request.
var ErrForeign = errors.New("the answer belongs to another request")

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer

	mu        sync.Mutex
	expecting bool          // a request waits for its answer
	broken    bool          // closed, or bytes came that nobody waits for
	arrived   chan error    // the first byte of an answer, or why there is none
	resume    chan struct{} // the answer has been read
	idleUntil time.Time
}

func newConn(raw net.Conn) *conn {
	c := &conn{
		Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), writer: bufio.NewWriterSize(raw, writeBuffer),
		arrived: make(chan error, 1), resume: make(chan struct{}, 1),
	}
	go c.watch()
	return c
}

// watch waits for the first byte of each answer. A byte or an end that comes
// while no request waits breaks the connection: such bytes belong to nobody.
func (c *conn) watch() {
	for {
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		waited := c.expecting
		c.expecting = false
		if !waited || err != nil {
			c.broken = true
		}
		c.mu.Unlock()
		if !waited {
			c.Close()
			return
		}
		c.arrived <- err
		if err != nil {
			return
		}
		if _, open := <-c.resume; !open {
			return
		}
	}
}

// expect tells that a request is about to be sent. It returns false where the
// connection can't be used any more.
func (c *conn) expect() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return false
	}
	c.expecting = true
	return true
}

// release ends the use of a connection after a whole answer. It returns false
// where the connection can't be used again.
func (c *conn) release(header http.Header, closing bool, now time.Time) bool {
	if closing || c.reader.Buffered() > 0 {
		c.end()
		return false
	}
	c.idleUntil = now.Add(idleTime(header))
	c.resume <- struct{}{}
	return true
}

// end closes the connection for good.
func (c *conn) end() {
	c.mu.Lock()
	c.broken = true
	c.mu.Unlock()
	c.Close()
	select {
	case <-c.resume:
	default:
	}
	close(c.resume)
}

// isTimeout tells whether an error is one of a deadline.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// control sets the options of a connection before it is made.
func control(raw net.Conn) {
	tcp, is := raw.(*net.TCPConn)
	if !is {
		return
	}
	system, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// The option shortens the wait for a silent peer; without it the timeouts of
	// the requests still hold.
	_ = system.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
}
