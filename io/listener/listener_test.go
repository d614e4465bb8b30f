package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/netutil"

	"kingcuprill/io/rig/eventually"
)

const (
	wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	testTimeout  = 10 * time.Second
)

// startServer starts a server whose answers wait until release is closed.
func startServer(t *testing.T, limit func(net.Listener) net.Listener) (s *Server, release chan struct{}) {
	t.Helper()
	release = make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "whole")
	})}
	s, err := Listen("127.0.0.1:0", server, limit)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Errorf("the server ended: %v", err)
		}
	})
	return s, release
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func readAnswer(t *testing.T, what string, c net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s: no answer: %v", what, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "whole" {
		t.Fatalf("%s: answer %q, %v", what, body, err)
	}
	return response
}

func startStop(t *testing.T, s *Server) (stopped chan error) {
	t.Helper()
	stopped = make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	go func() { stopped <- s.Stop(ctx) }()
	return stopped
}

// TestQueuedConnectionIsServed guards against the loss of a request whose connection
// is still in the accept queue when the stop begins.
func TestQueuedConnectionIsServed(t *testing.T) {
	s, release := startServer(t, func(l net.Listener) net.Listener { return netutil.LimitListener(l, 1) })
	first, queued := dial(t, s), dial(t, s)
	_, _ = io.WriteString(first, wholeRequest)
	_, _ = io.WriteString(queued, wholeRequest)
	eventually.Until(t, "a request runs", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 1
	})
	stopped := startStop(t, s)
	close(release)
	readAnswer(t, "first", first)
	readAnswer(t, "queued", queued)
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// TestRequestBeingReadIsAnswered guards against the loss of a request of which only
// the first bytes have arrived when the stop begins.
func TestRequestBeingReadIsAnswered(t *testing.T) {
	s, release := startServer(t, nil)
	close(release)
	c := dial(t, s)
	_, _ = io.WriteString(c, wholeRequest)
	readAnswer(t, "first", c)
	_, _ = io.WriteString(c, wholeRequest[:8])
	eventually.Until(t, "the first bytes are read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.requestBegun
		}
		return false
	})
	stopped := startStop(t, s)
	eventually.Until(t, "the stop has begun", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.closed
	})
	_, _ = io.WriteString(c, wholeRequest[8:])
	if response := readAnswer(t, "second", c); !response.Close {
		t.Error("the answer has no header Connection: close")
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// TestIdleConnectionsAreClosed checks that idle connections don't delay a stop.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s, release := startServer(t, nil)
	close(release)
	used, unused := dial(t, s), dial(t, s)
	_, _ = io.WriteString(used, wholeRequest)
	readAnswer(t, "used", used)
	eventually.Until(t, "both connections are accepted", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 2
	})
	if err := <-startStop(t, s); err != nil {
		t.Errorf("stop: %v", err)
	}
	for name, c := range map[string]net.Conn{"used": used, "unused": unused} {
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("the %s connection is still open", name)
		}
	}
}

// TestStopTellsOfRequestsThatRun checks that Stop fails if a request still runs at
// the end of its context.
func TestStopTellsOfRequestsThatRun(t *testing.T) {
	s, release := startServer(t, nil)
	defer close(release)
	c := dial(t, s)
	_, _ = io.WriteString(c, wholeRequest)
	eventually.Until(t, "the request runs", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.state == http.StateActive
		}
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Stop(ctx); err == nil {
		t.Error("Stop returned no error although a request still runs")
	}
}
