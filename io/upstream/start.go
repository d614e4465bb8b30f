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
	// startTimeout bounds the questions before one request. Another target can take it then.
	startTimeout = 400 * time.Millisecond
	// startConnections is the most connections on which a peer is asked before one request:
	// a kept one may be closed meanwhile, and an answer may close its connection.
	startConnections = 3
	maxStartAnswer   = 1 << 20 // bytes
)

var (
	// ErrLaterStart is the error of a request that was not sent, as its peer has started
	// anew.
	ErrLaterStart = errors.New("the peer has started anew")
	// ErrStartUnknown is the error of a request that was not sent, as no connection shows
	// that its peer is the start that is expected.
	ErrStartUnknown = errors.New("no connection leads to the start that is expected")
	// errNotTold is the error of an answer that tells no start.
	errNotTold = errors.New("it is not told")
)

// Start is the start of a peer that a request is for, and how to ask for it. A connection
// leads to one process from its begin to its end. So the question goes over the connection
// that then carries the request: if the peer starts anew in between, the request doesn't
// arrive. Each connection is asked once.
type Start struct {
	URI    string // of the question
	Header http.Header
	Read   func(answer []byte) (start int64, known bool)
	Want   int64  // above 0
	Asked  func() // called for each question; may be nil
}

// obtain returns a connection on which the request may be sent.
func (c *Client) obtain(ctx context.Context, peer, address string, request Request) (*conn, error) {
	if request.Start == nil {
		return c.acquire(ctx, peer, address, request.EchoValue)
	}
	asking, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for left := startConnections - 1; ; left-- {
		obtained, err := c.acquire(ctx, peer, address, request.EchoValue)
		if err != nil {
			return nil, err
		}
		final, err := obtained.confirm(asking, address, request.Start)
		if err == nil {
			return obtained, nil
		}
		obtained.discard()
		if final || left == 0 || asking.Err() != nil {
			return nil, err
		}
	}
}

// confirm makes sure that the connection leads to a start of the peer. The error is final
// if another connection would bring no other one.
func (c *conn) confirm(ctx context.Context, address string, s *Start) (final bool, err error) {
	if c.start == s.Want {
		return false, nil
	}
	if c.start != 0 {
		return false, ErrStartUnknown // kept from another start, which may have ended
	}
	answer, err := c.askStart(ctx, address, s)
	if err != nil {
		return errors.Is(err, errNotTold), fmt.Errorf("%w: %v", ErrStartUnknown, err)
	}
	start, known := s.Read(answer)
	switch {
	case !known || start < s.Want:
		return true, ErrStartUnknown
	case start > s.Want:
		return true, ErrLaterStart
	}
	c.start = start
	return false, nil
}

// askStart asks the peer and makes the connection ready for the request.
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

// ask sends a small request and reads the whole answer.
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
		return nil, fmt.Errorf("%w in %d bytes", errNotTold, maxStartAnswer)
	case head.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%w, status %d", errNotTold, head.StatusCode)
	}
	return answer, nil
}
