// Package upstream is an HTTP/1.1 client with pooled connections to targets and
// to other entry VMs. It sends each request at most once and leaves retries to
// its caller: an error tells whether the request may have reached the peer. A
// response is accepted only for the request that waits for it.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"kingcuprill/core/bytebudget"
	"kingcuprill/core/units"
)

const (
	// dialTimeout bounds one connection attempt. TCP sends a lost SYN again only
	// after 1 s; another target is tried sooner.
	dialTimeout = 600 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the peer sends no
	// Keep-Alive timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the idle time, because a request must reach
	// the peer before the peer closes the connection.
	idleMargin  = 700 * time.Millisecond
	idlePerPeer = 64 // connections
)

// Failure is the error of a request without a usable response.
type Failure struct {
	Sent bool // bytes of the request may have reached the peer
	Err  error
}

// Error returns the text of the cause.
func (f *Failure) Error() string {
	return f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Err
}

// Request is one request to a peer.
type Request struct {
	Method string
	URI    string // path and query, written as they are
	Host   string
	Header http.Header
	Body   *bytebudget.Whole // nil for none
	// Connecting bounds the wait for a connection, besides the context of the request. It
	// may be nil.
	Connecting context.Context
	// MaySend is asked once the connection is there, right before the request is sent. If it
	// returns an error, nothing is sent. It may be nil.
	MaySend func() error
	// EchoHeader names the response header that must have the value EchoValue,
	// usually the request's id. If it is empty, no header is checked.
	EchoHeader string
	EchoValue  string
	// Start is the start of the peer that the request is for; nil for any.
	Start *Start
}

func (r Request) check() error {
	if r.MaySend == nil {
		return nil
	}
	return r.MaySend()
}

// Client sends requests and keeps idle connections to peers for reuse. It is
// safe for concurrent use.
type Client struct {
	Dialed func() // called for each new connection; may be nil
	// OnDial is called with the result of each new connection, unless the caller has
	// cancelled it. It may be nil.
	OnDial func(peer string, err error)
	// DialAddress returns the address to dial in place of an address. If it is nil,
	// the address itself is dialled.
	DialAddress func(address string) string
	// Network opens the connections to an address; nil stands for TCP.
	Network func(ctx context.Context, address string) (net.Conn, error)
	// Wrap returns a new connection with what counts its bytes. It may be nil.
	Wrap func(net.Conn) net.Conn
	// Idle is how long an idle connection is kept if the peer sends no Keep-Alive
	// timeout; 0 stands for defaultIdle less idleMargin.
	Idle time.Duration
	// Budget bounds the memory of all answers that are read or passed on. Nil is no bound.
	Budget *bytebudget.Budget

	mu   sync.Mutex
	idle map[string][]*conn // by peer, the most recently used last
}

// NewClient returns a client without connections. dialed may be nil.
func NewClient(dialed func()) *Client {
	return &Client{Dialed: dialed, idle: map[string][]*conn{}}
}

// Response is a response whose body is still to be read. Finish must be called
// for each.
type Response struct {
	*http.Response
	Start  int64 // of the peer that has answered, 0 if it isn't known
	client *Client
	peer   string
	conn   *conn
	stop   func() bool
	sent   chan error // receives the result of writing the request
	done   bool
}

// Do sends a request to an address and waits for the response header. Idle
// connections are kept by peer, because another peer may come to have the same
// address. Errors are of type *Failure.
func (c *Client) Do(ctx context.Context, peer, address string, request Request) (response *Response, err error) {
	conn, err := c.connect(ctx, peer, address, request)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	if err := request.check(); err != nil {
		conn.discard()
		return nil, &Failure{Err: err}
	}
	// The end of the context interrupts reads and writes on the connection.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	sent := make(chan error, 1)
	go func() { sent <- write(conn, request) }()
	parsed, err := c.await(conn, request, sent)
	if err != nil {
		stop()
		conn.discard()
		return nil, &Failure{Sent: true, Err: cause(ctx, err)}
	}
	conn.noteAnswered(request.EchoValue)
	return &Response{Response: parsed, Start: conn.start, client: c, peer: peer, conn: conn, stop: stop, sent: sent}, nil
}

// cause returns the context's cause for a timeout that the end of the context
// brought about, and any other error as it is.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil && isTimeout(err) {
		return context.Cause(ctx)
	}
	return err
}

// await waits for the header of the response and checks the echoed id.
func (c *Client) await(conn *conn, request Request, sent chan error) (parsed *http.Response, err error) {
	if err := <-conn.arrived; err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	if parsed, err = conn.readHead(request.Method); err != nil {
		return nil, fmt.Errorf("the answer's header can't be read: %w", err)
	}
	if request.EchoHeader != "" && parsed.Header.Get(request.EchoHeader) != request.EchoValue {
		return nil, ErrResponseMismatch
	}
	return parsed, nil
}

// connect returns a connection to a peer, within two contexts.
func (c *Client) connect(ctx context.Context, peer, address string, request Request) (*conn, error) {
	also := request.Connecting
	if also == nil {
		return c.obtain(ctx, peer, address, request)
	}
	both, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(also, func() { cancel(context.Cause(also)) })()
	conn, err := c.obtain(both, peer, address, request)
	if err != nil && both.Err() != nil {
		return nil, context.Cause(both)
	}
	return conn, err
}

// Connect opens a connection to a peer and keeps it for the next request.
func (c *Client) Connect(ctx context.Context, peer, address string) error {
	dialed, err := c.dial(ctx, peer, address)
	if err != nil {
		return err
	}
	dialed.idleUntil = time.Now().Add(c.idleTime(nil))
	c.push(peer, dialed)
	return nil
}

// Refuses reports whether a peer refuses a new connection, as nothing listens at its
// address. A connection that it accepts is kept for the next request.
func (c *Client) Refuses(peer, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	err := c.Connect(ctx, peer, address)
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// acquire returns an idle connection of the peer that still works, or dials a new one. A
// connection that has carried a request of the same id isn't used again for it: a copy of
// the first answer couldn't be told from the second.
func (c *Client) acquire(ctx context.Context, peer, address, id string) (*conn, error) {
	for {
		kept := c.pop(peer)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.idleUntil) && !slices.Contains(kept.answered, id) && kept.expect() {
			return kept, nil
		}
		kept.discard()
	}
	dialed, err := c.dial(ctx, peer, address)
	if err != nil {
		return nil, err
	}
	if !dialed.expect() {
		return nil, errors.New("the peer closed the connection before the request was sent")
	}
	return dialed, nil
}

// dial opens a connection, which has neither probes nor a time in which sent bytes must be
// acknowledged: a peer that reads on late is sound. The time of each request bounds it.
func (c *Client) dial(ctx context.Context, peer, address string) (*conn, error) {
	if c.DialAddress != nil {
		address = c.DialAddress(address)
	}
	open := c.Network
	if open == nil {
		open = dialTCP
	}
	raw, err := open(ctx, address)
	if c.OnDial != nil && !errors.Is(ctx.Err(), context.Canceled) {
		c.OnDial(peer, err)
	}
	if err != nil {
		return nil, err
	}
	if c.Dialed != nil {
		c.Dialed()
	}
	if c.Wrap != nil {
		raw = c.Wrap(raw)
	}
	return newConn(raw), nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

func (c *Client) pop(peer string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[peer]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.idle[peer] = kept[:len(kept)-1]
	return last
}

func (c *Client) push(peer string, released *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[peer]) >= idlePerPeer {
		released.discard()
		return
	}
	c.idle[peer] = append(c.idle[peer], released)
}

// Prune closes connections whose idle time has passed, and those of peers that
// known returns false for.
func (c *Client) Prune(now time.Time, known func(peer string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, kept := range c.idle {
		remaining := kept[:0]
		for _, conn := range kept {
			if known(peer) && now.Before(conn.idleUntil) {
				remaining = append(remaining, conn)
				continue
			}
			conn.discard()
		}
		if c.idle[peer] = remaining; len(remaining) == 0 {
			delete(c.idle, peer)
		}
	}
}

// Finish releases the connection. complete is true if the body was read to the
// end, so that the connection can carry another request. Further calls do
// nothing.
func (r *Response) Finish(complete bool) {
	if r.done {
		return
	}
	r.done = true
	inTime := r.stop()
	// Interrupts a write of the request that still waits for the peer: the peer
	// has answered without reading the rest.
	_ = r.conn.SetWriteDeadline(time.Unix(1, 0))
	written := <-r.sent == nil
	closing := !complete || !written || !inTime || r.Close || (r.ContentLength < 0 && len(r.TransferEncoding) == 0)
	if closing {
		r.conn.discard()
		return
	}
	_ = r.conn.SetDeadline(time.Time{})
	if r.conn.release(r.client.idleTime(r.Header), time.Now()) {
		r.client.push(r.peer, r.conn)
	}
}

// write sends a request. The writer keeps the first error until Flush.
func write(conn *conn, request Request) error {
	w := conn.writer
	w.Reset(conn.checked)
	_, _ = w.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(w)
	if request.Body.Size() > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(request.Body.Size(), 10) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = request.Body.WriteTo(w)
	return w.Flush()
}

// idleTime returns how long a connection may be kept after a response with this
// header.
func (c *Client) idleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return units.Seconds(float64(seconds)) - idleMargin
		}
	}
	if c.Idle > 0 {
		return c.Idle
	}
	return defaultIdle - idleMargin
}

// Borrow returns a loan for the memory of the answer. When the answer must be given up, its
// reading is interrupted.
func (r *Response) Borrow() *bytebudget.Loan {
	return r.client.Budget.Open(r.peer, func() { _ = r.conn.SetReadDeadline(time.Unix(1, 0)) })
}

// ReadAll reads the whole body, which must be closed. A body of more than limit bytes is an
// error, and so is one that takes too much memory beside all other answers.
func (r *Response) ReadAll(limit int64) (body *bytebudget.Whole, err error) {
	return bytebudget.ReadWhole(r.Body, r.ContentLength, limit, r.Borrow())
}

// maxDiscard is how much of a body is read only so that its connection can be used again.
const maxDiscard = 64 << 10 // bytes

// Discard reads the body and keeps nothing of it. A large one is an error.
func (r *Response) Discard() error {
	n, err := io.CopyN(io.Discard, r.Body, maxDiscard)
	if err == nil {
		return fmt.Errorf("the answer has %d bytes or more", n)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
