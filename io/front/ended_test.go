package front

import (
	"bytes"
	"context"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"kingcuprill/core/plan"
	"kingcuprill/io/rig/eventually"
)

// lockedBuffer keeps what is logged.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// kinds returns the kind in each line.
func (b *lockedBuffer) kinds() (kinds []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		if _, rest, found := strings.Cut(line, " kind="); found && strings.Contains(line, "request=7 ") {
			kind, _, _ := strings.Cut(rest, " ")
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.text.String(), text)
}

func silent(conn net.Conn, _ *http.Request) {
	time.Sleep(2 * time.Second)
	conn.Close()
}

func beginAndBeSilent(conn net.Conn, request *http.Request) {
	stream(true, 1)(&cutConn{conn}, request)
	silent(conn, request)
}

// cutConn drops the end of a chunked body.
type cutConn struct{ net.Conn }

func (c *cutConn) Write(p []byte) (int, error) {
	if string(p) == "0\r\n\r\n" {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Requests that ended without an answer could not be told apart by their logs.
func TestEachEndWithoutAnAnswerIsLoggedOnce(t *testing.T) {
	once := plan.Route{Kind: plan.NonIdempotent, Attempts: 1}
	long := plan.Route{Kind: plan.Stream, Attempts: 1}
	left := func(w *fixture, t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if response, err := http.DefaultTransport.RoundTrip(w.request(ctx, t, "k")); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
	}
	asked := func(w *fixture, t *testing.T) { w.ask(t, "k") }
	hurried := func(w *fixture, t *testing.T) { w.ask(t, "k", "Left", "400") }
	for name, test := range map[string]struct {
		route  plan.Route
		answer func(net.Conn, *http.Request)
		call   func(*fixture, *testing.T)
		want   endKind
	}{
		"connection lost":                     {once, reset, asked, endedConnectionLost},
		"connection lost in mid-stream":       {long, stream(false, 1), asked, endedConnectionLost},
		"silent until the deadline":           {once, silent, hurried, endedDeadline},
		"silent in mid-stream":                {long, beginAndBeSilent, hurried, endedDeadline},
		"answer of another request":           {once, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n\r\n") }, asked, endedFailure},
		"caller leaves before the answer":     {once, silent, left, endedCallerLeft},
		"caller leaves in mid-stream":         {long, beginAndBeSilent, left, endedCallerLeft},
		"caller leaves inside its body":       {once, status(200, "", "fine"), leaveInBody, endedNotRead},
		"handler fails":                       {once, status(200, "", "fine"), failInHandler, endedOpen},
		"complete answer":                     {once, status(200, "", "fine"), asked, ""},
		"refusal that says that it isn't run": {once, status(503, "Not-Run: 1\r\n", ""), asked, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, test.route, startTarget(t, test.answer))
			logged, panics := &lockedBuffer{}, &lockedBuffer{}
			w.front.Config.ErrorLog = log.New(panics, "", 0)
			w.server.Log = slog.New(slog.NewTextHandler(logged, nil))
			test.call(w, t)
			eventually.Until(t, "the request has ended", func() bool { return w.server.Running() == 0 })
			kinds := strings.Join(logged.kinds(), " ")
			if kinds != string(test.want) {
				t.Errorf("logged kinds %q, want %q", kinds, test.want)
			}
			if failed := panics.contains(failureOfHandler); failed != (test.want == endedOpen) || !failed && panics.contains("panic") {
				t.Errorf("the handler has failed: %v", failed)
			}
			if counter, found := w.server.Metrics.Registry.Get("ended." + string(test.want)).(gometrics.Counter); test.want != "" && (!found || counter.Count() != 1) {
				t.Errorf("counter: %v", counter)
			}
		})
	}
}

// leaveInBody closes the connection before the body is whole.
func leaveInBody(w *fixture, t *testing.T) {
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nAuthorization: Bearer k\r\nContent-Length: 9\r\n\r\nhalf")
	eventually.Until(t, "the request is read", func() bool { return w.server.Running() == 1 })
	conn.Close()
}

const failureOfHandler = "the test's handler fails"

func failInHandler(w *fixture, t *testing.T) {
	w.server.Targets.OnDial = func(string, error) { panic(failureOfHandler) }
	w.ask(t, "k")
}
