package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kingcuprill/core/bytebudget"
)

// peer is a server that counts its connections and requests.
type peer struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

// startPeer starts a peer. answer writes the response to each request; number
// counts the requests from 1.
func startPeer(t *testing.T, answer func(conn net.Conn, request *http.Request, number int64)) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &peer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.connections.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					answer(conn, request, p.requests.Add(1))
				}
			}()
		}
	}()
	return p
}

func send(ctx context.Context, c *Client, p *peer, id string) (body string, response *Response, err error) {
	response, err = c.Do(ctx, "t", p.address, Request{
		Method: "POST", URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: bytebudget.FromBytes([]byte("body")), EchoHeader: "Id", EchoValue: id,
	})
	if err != nil {
		return "", nil, err
	}
	data, err := response.ReadAll(1 << 20)
	response.Finish(err == nil)
	if err != nil {
		return "", response, err
	}
	return string(data.Bytes()), response, nil
}

func writeOK(conn net.Conn, request *http.Request, _ int64) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok")
}

func TestConnectionIsKept(t *testing.T) {
	p := startPeer(t, writeOK)
	c := NewClient(nil)
	for i := range 500 {
		if body, _, err := send(t.Context(), c, p, strconv.Itoa(i)); err != nil || body != "ok" {
			t.Fatalf("body %q, error %v", body, err)
		}
	}
	if got := p.connections.Load(); got != 1 {
		t.Errorf("%d connections for 500 requests", got)
	}
}

// A response with the id of another request must be rejected.
func TestForeignAnswer(t *testing.T) {
	p := startPeer(t, func(conn net.Conn, _ *http.Request, _ int64) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno")
	})
	_, _, err := send(t.Context(), NewClient(nil), p, "a")
	var failure *Failure
	if !errors.Is(err, ErrResponseMismatch) || !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("error %v: want a foreign answer to a request that was sent", err)
	}
}

// A peer sends a second response with the id of the first request, immediately or
// later. It must not be accepted for the next request on the connection.
func TestExtraBytes(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "later": 20 * time.Millisecond} {
		p := startPeer(t, func(conn net.Conn, request *http.Request, number int64) {
			writeOK(conn, request, number)
			time.Sleep(delay)
			if number == 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nno")
			}
		})
		c := NewClient(nil)
		if _, _, err := send(t.Context(), c, p, "a"); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		waitFor(t, func() bool { return delay == 0 || allBroken(c) })
		body, _, err := send(t.Context(), c, p, "b")
		// The second response may arrive after the next request was sent.
		crossed := delay == 0 && errors.Is(err, ErrResponseMismatch)
		if !crossed && (err != nil || body != "ok") {
			t.Errorf("%s: body %q, error %v", name, body, err)
		}
		if body, _, err := send(t.Context(), c, p, "c"); err != nil || body != "ok" {
			t.Errorf("%s, after that: body %q, error %v", name, body, err)
		}
		if got := p.connections.Load(); got != 2 {
			t.Errorf("%s: %d connections, want a new one", name, got)
		}
	}
}

// allBroken reports whether no idle connection of the peer can be used.
func allBroken(c *Client) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.idle["t"] {
		kept.mu.Lock()
		broken := kept.broken
		kept.mu.Unlock()
		if !broken {
			return false
		}
	}
	return true
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition did not become true in time")
}

func TestHowFarItGot(t *testing.T) {
	closed := startPeer(t, func(conn net.Conn, _ *http.Request, _ int64) { conn.Close() })
	truncated := startPeer(t, func(conn net.Conn, request *http.Request, _ int64) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 20\r\n\r\nhalf")
		conn.Close()
	})
	garbage := startPeer(t, func(conn net.Conn, _ *http.Request, _ int64) { _, _ = io.WriteString(conn, "no answer at all\r\n\r\n") })
	var failure *Failure
	for name, p := range map[string]*peer{"closed": closed, "garbage": garbage} {
		_, _, err := send(t.Context(), NewClient(nil), p, "a")
		if !errors.As(err, &failure) || !failure.Sent {
			t.Errorf("%s: error %v, want one of a request that was sent", name, err)
		}
		if got := p.requests.Load(); got != 1 {
			t.Errorf("%s: the request was sent %d times", name, got)
		}
	}
	if _, _, err := send(t.Context(), NewClient(nil), truncated, "a"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated: error %v", err)
	}
	gone := &peer{address: "127.0.0.1:1"}
	if _, _, err := send(t.Context(), NewClient(nil), gone, "a"); !errors.As(err, &failure) || failure.Sent {
		t.Errorf("refused connection: error %v, want one of a request that was not sent", err)
	}
}

// The end of the context must close the connection, so that the peer can stop its
// work.
func TestContextEnds(t *testing.T) {
	closed := make(chan error, 1)
	p := startPeer(t, func(conn net.Conn, _ *http.Request, _ int64) {
		_, err := conn.Read(make([]byte, 1))
		closed <- err
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	reason := errors.New("the caller has left")
	go func() {
		waitFor(t, func() bool { return p.requests.Load() == 1 })
		cancel(reason)
	}()
	if _, _, err := send(ctx, NewClient(nil), p, "a"); !errors.Is(err, reason) {
		t.Errorf("error %v", err)
	}
	if err := <-closed; err == nil {
		t.Error("the connection stays open after the end of the context")
	}
}

// A peer may answer before it has read the body. The connection must then not be
// reused, because the rest of the body would precede the next request.
func TestEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 16))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	}()
	c := NewClient(nil)
	response, err := c.Do(t.Context(), "t", listener.Addr().String(), Request{
		Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: bytebudget.FromBytes([]byte(strings.Repeat("x", 32<<20))),
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := response.ReadAll(10); err != nil {
		t.Fatal(err)
	}
	response.Finish(true)
	if len(c.idle["t"]) != 0 {
		t.Error("a connection on which the request was not sent completely is kept")
	}
}

// A peer refuses a request and writes the refusal once more when the same request is sent
// to it again. The copy must not be taken for the answer to the second one.
func TestRepeatedRefusalIsNotAnAnswer(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	p := startPeer(t, func(conn net.Conn, request *http.Request, number int64) {
		if number == 1 {
			_, _ = io.WriteString(conn, refusal)
			return
		}
		if number == 2 {
			_, _ = io.WriteString(conn, refusal)
		}
		writeOK(conn, request, number)
	})
	c := NewClient(nil)
	if _, response, err := send(t.Context(), c, p, "a"); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("error %v", err)
	}
	if _, _, err := send(t.Context(), c, p, "a"); err == nil && p.connections.Load() == 1 {
		t.Error("the same request was sent twice on one connection, where a copy of its first answer can't be told from its second")
	}
	if body, _, err := send(t.Context(), c, p, "b"); err == nil && body != "ok" {
		t.Errorf("another request gets %q", body)
	}
}

// TCP_USER_TIMEOUT also ends a connection whose peer acknowledges all and reads late. A
// connection to a target has neither it nor probes: a pause isn't its end.
func TestConnectionsHaveNoProbesAndNoUserTimeout(t *testing.T) {
	p := startPeer(t, writeOK)
	c, err := NewClient(nil).dial(t.Context(), "t", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	probes, timeout := 0, 0
	_ = raw.Control(func(fd uintptr) {
		probes, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		timeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if probes != 0 || timeout != 0 {
		t.Errorf("probes %d, user timeout %d ms", probes, timeout)
	}
}
