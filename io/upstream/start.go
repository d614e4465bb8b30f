package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// startConnections is the most connections on which a peer is asked before one request:
	// a kept one may be closed meanwhile, and an answer may close its connection.
	startConnections = 3
	maxStartAnswer   = 1 << 20 // bytes
	// askAgainAfter is the pause after which a peer that didn't tell its start is asked again
	// on a connection, before a request for any start.
	askAgainAfter = 2 * time.Second
)

var (
	// ErrLaterStart is the error of a request that was not sent, as its peer has started
	// anew.
	ErrLaterStart = errors.New("the peer has started anew")
	// ErrStartUnknown is the error of a request that was not sent, as no connection shows
	// that its peer is the start that is expected.
	ErrStartUnknown = errors.New("no connection leads to the start that is expected")
)

// Start is the start of a peer that a request is for, and how to ask for it. A connection
// leads to one process from its begin to its end. So the question goes over the connection
// that then carries the request: if the peer starts anew in between, the request doesn't
// arrive. Each connection is asked until it is told.
type Start struct {
	URI    string // of the question
	Header http.Header
	Read   func(answer []byte) (start int64, known bool)
	Want   int64 // above 0
	// Any says that the request is sent all the same if another start answers, or none is
	// told.
	Any    bool
	Within time.Duration // bounds the questions before one request
	Asked  func()        // called for each question; may be nil
}

// obtain returns a connection on which the request may be sent.
func (c *Client) obtain(ctx context.Context, peer, address string, request Request) (obtained *conn, err error) {
	s := request.Start
	if s == nil {
		return c.acquire(ctx, peer, address, request.EchoValue)
	}
	var asking context.Context // begins with the first connection
	for left := startConnections - 1; ; left-- {
		if obtained, err = c.acquire(ctx, peer, address, request.EchoValue); err != nil {
			return nil, err
		}
		if asking == nil {
			var cancel context.CancelFunc
			asking, cancel = context.WithTimeout(ctx, s.Within)
			defer cancel()
		}
		kept := !obtained.asked.IsZero()
		usable, err := obtained.confirm(asking, address, s)
		if err == nil || usable && s.Any {
			return obtained, nil
		}
		obtained.discard()
		if left > 0 && asking.Err() == nil && (kept || !usable) {
			continue // another connection may lead to another start
		}
		if s.Any {
			return c.acquireUnasked(ctx, peer, address, request)
		}
		return nil, err
	}
}

// acquireUnasked returns a connection on which later requests for any start don't ask for a
// while either.
func (c *Client) acquireUnasked(ctx context.Context, peer, address string, request Request) (*conn, error) {
	acquired, err := c.acquire(ctx, peer, address, request.EchoValue)
	if err == nil {
		acquired.asked = time.Now()
	}
	return acquired, err
}

// confirm makes sure that the connection leads to a start of the peer. It remains usable if
// it leads to another one, or if that isn't told.
func (c *conn) confirm(ctx context.Context, address string, s *Start) (usable bool, err error) {
	if c.mayAsk(s) {
		answer, err := c.askStart(ctx, address, s)
		if err != nil {
			return false, fmt.Errorf("%w: %v", ErrStartUnknown, err)
		}
		c.asked = time.Now()
		if start, known := s.Read(answer); known {
			c.start = start
		}
	}
	switch {
	case c.start == s.Want:
		return true, nil
	case c.start > s.Want:
		return true, ErrLaterStart
	}
	return true, ErrStartUnknown
}

// mayAsk reports whether the start is not known, and not known to be untold. A peer that was
// slow or busy may tell it later.
func (c *conn) mayAsk(s *Start) bool {
	return c.start == 0 && (!s.Any || time.Since(c.asked) > askAgainAfter)
}

// askStart asks the peer and makes the connection ready for the request. The answer is empty
// if the peer refuses to tell.
func (c *conn) askStart(ctx context.Context, address string, s *Start) (answer []byte, err error) {
	if s.Asked != nil {
		s.Asked()
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, err = c.ask(Request{Method: http.MethodGet, URI: s.URI, Host: address, Header: s.Header})
	switch {
	case !stop():
		return nil, context.Cause(ctx)
	case err != nil:
		return nil, err
	case c.reader.Buffered() > 0:
		return nil, errors.New("bytes follow its answer")
	}
	c.resume <- struct{}{}
	if !c.expect() {
		return nil, errors.New("it has closed the connection")
	}
	return answer, nil
}

// ask sends a small request and reads the whole answer. It returns none for an answer of
// another status than 200.
func (c *conn) ask(request Request) (answer []byte, err error) {
	if err := write(c, request); err != nil {
		return nil, err
	}
	if err := <-c.arrived; err != nil {
		return nil, err
	}
	head, err := c.readHead(request.Method)
	if err != nil {
		return nil, err
	}
	if head.Close || (head.ContentLength < 0 && len(head.TransferEncoding) == 0) {
		return nil, errors.New("the connection ends with its answer")
	}
	answer, err = io.ReadAll(io.LimitReader(head.Body, maxStartAnswer+1))
	switch {
	case err != nil:
		return nil, err
	case len(answer) > maxStartAnswer:
		return nil, fmt.Errorf("the answer has more than %d bytes", maxStartAnswer)
	case head.StatusCode != http.StatusOK:
		return nil, nil
	}
	return answer, nil
}
