package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"kingcuprill/io/http1"
)

const (
	readBuffer  = 4 << 10 // bytes
	writeBuffer = 4 << 10 // bytes
	// maxHead bounds the head of an answer, with the informational ones before it.
	maxHead = 256 << 10 // bytes
)

// ErrResponseMismatch is the error of a response that echoes the id of another
// request.
var ErrResponseMismatch = errors.New("the answer belongs to another request")

// conn is one connection to a peer. It carries one request at a time. A goroutine
// reads from it also while it is idle, so that a closed connection or unexpected
// bytes are noticed before the next request is sent.
type conn struct {
	net.Conn
	checked *http1.Conn    // of the same connection, for all that is read and written
	source  *boundedReader // of reader
	reader  *bufio.Reader
	writer  *bufio.Writer

	answered []string  // ids of the last requests that it has carried
	asked    time.Time // when the peer was asked for its start last
	start    int64     // of the peer, 0 if it isn't known

	mu        sync.Mutex
	expecting bool          // a request waits for its response
	broken    bool          // closed, or bytes came that belong to no request
	arrived   chan error    // nil when a response begins, or why there is none
	resume    chan struct{} // the response has been read; closed by discard
	idleUntil time.Time
}

func newConn(raw net.Conn) *conn {
	checked := http1.NewConn(raw)
	source := &boundedReader{source: checked, left: unbounded}
	c := &conn{
		Conn: raw, checked: checked, source: source, reader: bufio.NewReaderSize(source, readBuffer), writer: bufio.NewWriterSize(checked, writeBuffer),
		arrived: make(chan error, 1), resume: make(chan struct{}, 1),
	}
	go c.watch()
	return c
}

// watch waits for the first byte of each response. If bytes arrive or the peer
// closes while no request waits, it marks the connection as broken: such bytes
// can't be attributed to a request.
func (c *conn) watch() {
	for {
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		expected := c.expecting
		c.expecting = false
		if !expected || err != nil {
			c.broken = true
		}
		c.mu.Unlock()
		if !expected {
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

// readHead reads the head of the answer to a request, within maxHead bytes. Informational
// answers may precede it (RFC 9110, section 15.2); they are left out. It must be called
// after arrived.
func (c *conn) readHead(method string) (head *http.Response, err error) {
	c.source.left = maxHead
	defer func() { c.source.left = unbounded }()
	for {
		head, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if isInformational(head) {
			continue
		}
		return head, http1.CheckStatus(head)
	}
}

// isInformational reports whether a final answer follows on the same connection.
func isInformational(head *http.Response) bool {
	return head.StatusCode/100 == 1 && head.StatusCode != http.StatusSwitchingProtocols
}

// expect must be called before a request is sent. It returns false if the
// connection is broken.
func (c *conn) expect() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return false
	}
	c.expecting = true
	c.checked.ExpectHead()
	return true
}

// maxAnswered bounds the ids that a connection remembers.
const maxAnswered = 16

func (c *conn) noteAnswered(id string) {
	if len(c.answered) >= maxAnswered {
		c.answered = c.answered[1:]
	}
	c.answered = append(c.answered, id)
}

// release makes a connection idle after a complete response. If unread bytes are
// buffered, it closes the connection and returns false.
func (c *conn) release(idle time.Duration, now time.Time) bool {
	if c.reader.Buffered() > 0 {
		c.discard()
		return false
	}
	c.idleUntil = now.Add(idle)
	c.resume <- struct{}{}
	return true
}

// discard closes the connection and ends its goroutine. It must be called at most
// once.
func (c *conn) discard() {
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

// isTimeout reports whether an error comes from a deadline of the connection.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}
