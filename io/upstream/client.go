// Package upstream speaks HTTP/1.1 to targets and to other entry VMs. It never
// sends a request twice by itself, tells how far a request got, and accepts an
// answer only for the request that waits for it.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// dialTimeout bounds one connection. The first packet is sent again only
	// after a second, so that another target is tried sooner.
	dialTimeout = 600 * time.Millisecond
	// defaultIdle is how long a connection is kept where the peer doesn't say.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off what the peer says, for the way of a request.
	idleMargin  = 700 * time.Millisecond
	idlePerPeer = 64 // connections
)

// Failure tells how far a request got.
type Failure struct {
	Sent bool // bytes of the request may have reached the peer
	Err  error
}

// Error returns the text.
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
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// Echo names the header in which the peer repeats the request's id, and its
	// value. An empty name expects none.
	Echo      string
	EchoValue string
}

// Client keeps connections to peers.
type Client struct {
	Dialed func() // counts new connections
	// Through returns the address to dial for an address, nil to dial it itself.
	Through func(address string) string

	mu   sync.Mutex
	idle map[string][]*conn // by peer, the newest last
}

// NewClient returns a client without connections.
func NewClient(dialed func()) *Client {
	return &Client{Dialed: dialed, idle: map[string][]*conn{}}
}

// Response is an answer whose body is still to be read.
type Response struct {
	*http.Response
	client *Client
	peer   string
	conn   *conn
	stop   func() bool
	wrote  chan error
	done   bool
}

// Do sends a request to an address. peer tells apart what is at the address
// over time: connections are kept for one peer.
func (c *Client) Do(ctx context.Context, peer, address string, request Request) (response *Response, err error) {
	conn, err := c.take(ctx, peer, address)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	// The end of the context ends the connection, whatever it is doing.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	wrote := make(chan error, 1)
	go func() { wrote <- write(conn, request) }()
	parsed, err := c.await(conn, request, wrote)
	if err != nil {
		stop()
		conn.end()
		return nil, &Failure{Sent: true, Err: cause(ctx, err)}
	}
	return &Response{Response: parsed, client: c, peer: peer, conn: conn, stop: stop, wrote: wrote}, nil
}

func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil && isTimeout(err) {
		return context.Cause(ctx)
	}
	return err
}

// await waits for the head of the answer.
func (c *Client) await(conn *conn, request Request, wrote chan error) (parsed *http.Response, err error) {
	if err := <-conn.arrived; err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	parsed, err = http.ReadResponse(conn.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, fmt.Errorf("the answer can't be read: %w", err)
	}
	if request.Echo != "" && parsed.Header.Get(request.Echo) != request.EchoValue {
		return nil, ErrForeign
	}
	return parsed, nil
}

func (c *Client) take(ctx context.Context, peer, address string) (*conn, error) {
	for {
		kept := c.pop(peer)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.idleUntil) && kept.expect() {
			return kept, nil
		}
		kept.end()
	}
	if c.Through != nil {
		address = c.Through(address)
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	control(raw)
	if c.Dialed != nil {
		c.Dialed()
	}
	made := newConn(raw)
	if !made.expect() {
		return nil, errors.New("the connection was closed at once")
	}
	return made, nil
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

func (c *Client) push(peer string, made *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[peer]) >= idlePerPeer {
		made.end()
		return
	}
	c.idle[peer] = append(c.idle[peer], made)
}

// Prune closes connections that have been idle for too long, and those of peers
// that are gone.
func (c *Client) Prune(now time.Time, known func(peer string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, kept := range c.idle {
		left := kept[:0]
		for _, made := range kept {
			if known(peer) && now.Before(made.idleUntil) {
				left = append(left, made)
				continue
			}
			made.end()
		}
		if c.idle[peer] = left; len(left) == 0 {
			delete(c.idle, peer)
		}
	}
}

// Finish ends the use of the answer. whole tells that its body was read to the
// end, so that the connection can carry another request.
func (r *Response) Finish(whole bool) {
	if r.done {
		return
	}
	r.done = true
	inTime := r.stop()
	// A write that still waits for the peer ends here: the peer has answered
	// without the rest.
	_ = r.conn.SetWriteDeadline(time.Unix(1, 0))
	written := <-r.wrote == nil
	closing := !whole || !written || !inTime || r.Close || (r.ContentLength < 0 && len(r.TransferEncoding) == 0)
	if closing {
		r.conn.end()
		return
	}
	_ = r.conn.SetDeadline(time.Time{})
	if r.conn.release(r.Header, false, time.Now()) {
		r.client.push(r.peer, r.conn)
	}
}

// write sends a request.
func write(conn *conn, request Request) error {
	w := conn.writer
	w.Reset(conn.Conn)
	_, _ = w.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(w)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(request.Body)
	return w.Flush()
}

// idleTime returns how long a connection may be kept after an answer.
func idleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle - idleMargin
}

// ReadAll reads the whole body, up to a number of bytes.
func (r *Response) ReadAll(most int64) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(r.Body, most+1))
	if err == nil && int64(len(body)) > most {
		return nil, fmt.Errorf("the answer has more than %d bytes", most)
	}
	return body, err
}
