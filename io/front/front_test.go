package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprill/core/drain"
	"kingcuprill/core/entry"
	"kingcuprill/core/instance"
	"kingcuprill/core/lease"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/quota"
	"kingcuprill/core/watch"
	"kingcuprill/io/coordinator"
	"kingcuprill/io/draw"
	"kingcuprill/io/metrics"
	"kingcuprill/io/peer"
	"kingcuprill/io/targetlink"
	"kingcuprill/io/upstream"
)

var testHeaders = Headers{
	RequestID: "Id", TimeLeft: "Left", Organisation: "Organisation", Target: "Target", NotRun: "Not-Run", Leaving: "Leaving", Brittle: "Brittle",
	Tokens: "Tokens", Parts: "Parts", LastEvent: "Last-Event-Id", Own: []string{"Secret"},
}

var testStarts = Starts{URI: "/start", Read: func(answer []byte) (start int64, known bool) {
	start, err := strconv.ParseInt(string(answer), 10, 64)
	return start, err == nil && start > 0
}}

// target is a scripted target: each request gets the next answer, and all further
// ones the last answer. It tells its start.
type target struct {
	start   atomic.Int64
	told    func(conn net.Conn) // called when it has told its start; may be nil
	early   bool                // it answers before it has read the body
	mu      sync.Mutex
	answers []func(conn net.Conn, request *http.Request)
	seen    []*http.Request
	ended   chan struct{}
	address string
	// listener accepts new connections; closed, it refuses them and the open ones live on.
	listener net.Listener
}

func startTarget(t testing.TB, answers ...func(conn net.Conn, request *http.Request)) *target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return serveTarget(listener, answers)
}

func serveTarget(listener net.Listener, answers []func(conn net.Conn, request *http.Request)) *target {
	s := &target{answers: answers, address: listener.Addr().String(), listener: listener, ended: make(chan struct{}, 16)}
	s.start.Store(1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *target) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.early {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if request.RequestURI == testStarts.URI {
			status(200, "", strconv.FormatInt(s.start.Load(), 10))(conn, request)
			if s.told != nil {
				s.told(conn)
			}
			continue
		}
		s.mu.Lock()
		answer := s.answers[min(len(s.seen), len(s.answers)-1)]
		s.seen = append(s.seen, request)
		s.mu.Unlock()
		answer(conn, request)
	}
}

func (s *target) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

func status(code int, header, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", code, request.Header.Get("Id"), header, len(body), body)
	}
}

func reset(conn net.Conn, _ *http.Request) { conn.Close() }

// stream sends events and ends well, or breaks off in the middle of one.
func stream(whole bool, ids ...int) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		for _, id := range ids {
			event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if !whole {
			fmt.Fprintf(conn, "5\r\nid: 9")
			conn.Close()
			return
		}
		fmt.Fprint(conn, "0\r\n\r\n")
	}
}

// unframedAnswer sends an answer that has neither a length nor chunks and ends with its
// connection, in order or with a reset.
func unframedAnswer(header, body string, inOrder bool) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", request.Header.Get("Id"), header, body)
		if !inOrder {
			time.Sleep(20 * time.Millisecond) // a reset discards what wasn't read
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
	}
}

const streamHeader = "Content-Type: text/event-stream\r\n"

type fixture struct {
	server *Server
	front  *httptest.Server
	caller http.RoundTripper
	leased atomic.Int64 // nanoseconds
	// admits is set if the lease holds once more when it is read next.
	admits atomic.Bool
}

func newFixture(t testing.TB, route plan.Route, targets ...*target) *fixture {
	t.Helper()
	w := buildFixture(t, route, targets)
	w.caller = http.DefaultTransport
	w.front = httptest.NewServer(w.server)
	t.Cleanup(w.front.Close)
	return w
}

// buildFixture returns a server that callers can't reach yet.
func buildFixture(t testing.TB, route plan.Route, targets []*target) *fixture {
	t.Helper()
	w := &fixture{}
	w.leased.Store(int64(time.Minute))
	route.Name, route.Host, route.Prefix = "r", "h", "/a/"
	route.Splits = []plan.Split{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	route.Objective = time.Second
	p := plan.Plan{
		Version: 1, Routes: []plan.Route{route}, Services: []plan.Service{{Name: "s"}}, MaxBody: 1000,
		Organisations: []plan.Organisation{{Name: "o", Keys: []string{"k"}}, {Name: "poor", Keys: []string{"p"}, RatePerSecond: 1, Burst: 1, PlainTokens: 100}},
	}
	rows := map[string]instance.Registration{}
	for i, s := range targets {
		id := fmt.Sprintf("t%d", i)
		rows[id] = instance.Registration{ID: id, Service: "s", Address: s.address, Born: 1, State: instance.Ready, Slots: 8, Heard: time.Now()}
	}
	placer := place.NewPlacer("vm", "region")
	placer.Retries = place.Retries{Ratio: 0.2, Slack: 10}
	placer.SetTargets(rows, func(string) string { return "region" })
	limiter := quota.NewLimiter()
	limiter.SetVMs(1)
	log := slog.New(slog.DiscardHandler)
	entries := &atomic.Pointer[[]entry.VM]{}
	entries.Store(&[]entry.VM{})
	configurationLease := lease.New(func() time.Duration {
		if w.admits.Swap(false) {
			return -time.Minute
		}
		return -time.Duration(w.leased.Load())
	}, 0)
	configurationLease.Confirm(0)
	w.server = &Server{
		Self: "vm", Region: "region", Headers: testHeaders, State: watch.NewValue(&State{Plan: plan.NewIndex(p)}), Lease: configurationLease,
		Placer: placer, Quota: limiter, Quarantine: quarantine.NewList(), Drawer: &draw.Client{Limiter: limiter, Controls: func() []string { return nil }, Log: log},
		Targets: upstream.NewClient(nil), Peers: upstream.NewClient(nil), Entries: entries,
		Starts: &testStarts, Metrics: metrics.New(), Log: log,
	}
	w.server.Links = targetlink.NewMonitor(w.server.Targets, func() []place.Address { return placer.Usable(time.Now()) }, log)
	return w
}

func (w *fixture) request(ctx context.Context, t *testing.T, key string, header ...string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+"/a/x?q=1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Id", "7")
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return request
}

// ask sends a request and returns the status, or 0 if the answer breaks off, and
// the body.
func (w *fixture) ask(t *testing.T, key string, header ...string) (code int, body string, response *http.Response) {
	t.Helper()
	response, err := w.caller.RoundTrip(w.request(t.Context(), t, key, header...))
	if err != nil {
		return 0, "", nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(data), response
	}
	return response.StatusCode, string(data), response
}

// TestWhatMayRunAgain sends one request to scripted targets and counts how
// often it is sent.
func TestWhatMayRunAgain(t *testing.T) {
	ok, failed := status(200, "Seal: x\r\n", "fine"), status(500, "Seal: y\r\n", "bad")
	shed, other := status(503, "Not-Run: 1\r\n", ""), status(421, "", "")
	type script = []func(net.Conn, *http.Request)
	tests := []struct {
		name   string
		route  plan.Route
		script script
		code   int
		body   string
		sends  int
	}{
		{"answered", plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, script{ok}, 200, "fine", 1},
		{"failed, may not run again", plan.Route{Kind: plan.NonIdempotent, Attempts: 3}, script{failed, ok}, 500, "bad", 1},
		{"reset, may not run again", plan.Route{Kind: plan.NonIdempotent, Attempts: 3}, script{reset, ok}, 502, "", 1},
		{"shed, was not run", plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, script{shed, ok}, 200, "fine", 2},
		{"another target has the address", plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, script{other, ok}, 200, "fine", 2},
		{"shed by all", plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, script{shed}, 503, "", 3},
		{"reset, may run again", plan.Route{Kind: plan.Idempotent, Attempts: 2}, script{reset, ok}, 200, "fine", 2},
		{"reset, attempts used up", plan.Route{Kind: plan.Idempotent, Attempts: 1}, script{reset, ok}, 502, "", 1},
		{"failed, then answered", plan.Route{Kind: plan.Idempotent, Attempts: 2}, script{failed, ok}, 200, "fine", 2},
		{"failed twice", plan.Route{Kind: plan.Idempotent, Attempts: 2}, script{failed}, 500, "bad", 2},
		{"stream that can't be resumed", plan.Route{Kind: plan.Stream, Attempts: 3}, script{reset, ok}, 502, "", 1},
		{"stream, whole", plan.Route{Kind: plan.Stream, Attempts: 1}, script{stream(true, 1, 2)}, 200, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", 1},
		{"stream, broken off", plan.Route{Kind: plan.Stream, Attempts: 1}, script{stream(false, 1)}, 0, "id: 1\ndata: 1\n\n", 1},
		{"unframed stream, whole", plan.Route{Kind: plan.Stream, Attempts: 1}, script{unframedAnswer(streamHeader, "id: 1\ndata: 1\n\n", true)}, 200, "id: 1\ndata: 1\n\n", 1},
		{"unframed stream, ended inside an event", plan.Route{Kind: plan.Stream, Attempts: 1}, script{unframedAnswer(streamHeader, "id: 1\ndata: 1\n\nid: 2\n", true)}, 0, "id: 1\ndata: 1\n\n", 1},
		{"unframed stream, reset", plan.Route{Kind: plan.Stream, Attempts: 1}, script{unframedAnswer(streamHeader, "id: 1\ndata: 1\n\n", false)}, 0, "id: 1\ndata: 1\n\n", 1},
		{"unframed stream, ended before its first event", plan.Route{Kind: plan.Stream, Attempts: 1}, script{unframedAnswer(streamHeader, "", true)}, 502, "", 1},
		{"unframed answer, whole", plan.Route{Kind: plan.Idempotent, Attempts: 1}, script{unframedAnswer("", "fine", true)}, 200, "fine", 1},
		{"unframed answer, reset", plan.Route{Kind: plan.Idempotent, Attempts: 2}, script{unframedAnswer("", "fi", false), ok}, 200, "fine", 2},
		{"stream, event missing", plan.Route{Kind: plan.Stream, Attempts: 1}, script{stream(true, 1, 3)}, 0, "id: 1\ndata: 1\n\n", 1},
		{"stream, resumed", plan.Route{Kind: plan.Stream, Resumable: true, Attempts: 2}, script{stream(false, 1), stream(true, 2, 3)}, 200, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", 2},
		{"stream, resumed with the wrong event", plan.Route{Kind: plan.Stream, Resumable: true, Attempts: 2}, script{stream(false, 1), stream(true, 1, 2)}, 0, "id: 1\ndata: 1\n\n", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// All targets share one script, so that the choice doesn't matter.
			shared := startTarget(t, test.script...)
			w := newFixture(t, test.route, shared, shared, shared, shared)
			code, body, _ := w.ask(t, "k")
			if code != test.code || (body != test.body && test.body != "") {
				t.Errorf("status %d, body %q; want %d, %q", code, body, test.code, test.body)
			}
			if got := shared.count(); got != test.sends {
				t.Errorf("sent %d times, want %d", got, test.sends)
			}
		})
	}
}

func TestHeaders(t *testing.T) {
	s := startTarget(t, status(200, "Seal: x\r\n", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, s)
	_, _, response := w.ask(t, "k", "Organisation", "forged", "Target", "forged", "Secret", "forged", "Other", "kept", "Left", "2000")
	got := s.seen[0].Header
	for name, want := range map[string]string{"Authorization": "", "Organisation": "o", "Target": "t0", "Secret": "", "Other": "kept", "Id": "7"} {
		if got.Get(name) != want {
			t.Errorf("the target gets %s: %q, want %q", name, got.Get(name), want)
		}
	}
	if left := got.Get("Left"); left > "2000" || left < "1000" {
		t.Errorf("the target gets %s ms, the caller waits 2000", left)
	}
	if s.seen[0].RequestURI != "/a/x?q=1" {
		t.Errorf("the target gets %s", s.seen[0].RequestURI)
	}
	if response.Header.Get("Seal") != "x" {
		t.Error("a header of the target is missing in the answer")
	}
}

// Targets must not compress streams: events are passed on one by one. A stream that is
// compressed all the same is delivered whole.
func TestCompressedStreams(t *testing.T) {
	s := startTarget(t, status(200, streamHeader+"Content-Encoding: gzip\r\n", "packed"))
	w := newFixture(t, plan.Route{Kind: plan.Stream, Attempts: 1}, s)
	code, body, _ := w.ask(t, "k", "Accept-Encoding", "gzip")
	if code != http.StatusOK || body != "packed" {
		t.Errorf("status %d, %q", code, body)
	}
	if got := s.seen[0].Header.Get("Accept-Encoding"); got != "" {
		t.Errorf("the target is asked for %q", got)
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		key    string
		change func(*fixture)
		path   string
		body   string
		code   int
		again  bool // there is a Retry-After
	}{
		{name: "unknown key", key: "x", code: 401},
		{name: "unknown path", key: "k", path: "/b/", code: 404},
		{name: "large body", key: "k", body: strings.Repeat("x", 2000), code: 413},
		{name: "no configuration", key: "k", change: func(w *fixture) {
			w.server.State.Update(func(*State) *State { return &State{} })
		}, code: 503, again: true},
		{name: "configuration not confirmed", key: "k", change: func(w *fixture) { w.leased.Store(-int64(time.Second)) }, code: 503, again: true},
		{name: "unknown key, configuration not confirmed", key: "x", change: func(w *fixture) { w.leased.Store(-int64(time.Second)) }, code: 503, again: true},
		{name: "unknown path, configuration not confirmed", key: "k", path: "/b/", change: func(w *fixture) { w.leased.Store(-int64(time.Second)) }, code: 503, again: true},
		{name: "over the limit", key: "p", code: 429, again: true},
		{name: "no target", key: "k", change: func(w *fixture) {
			w.server.Placer.SetTargets(nil, func(string) string { return "" })
		}, code: 503, again: true},
		{name: "no target where it may run", key: "k", change: func(w *fixture) {
			index := *w.server.State.Read().Plan
			p := index.Plan
			p.Routes[0].Homes = []string{"elsewhere"}
			w.server.State.Update(func(*State) *State { return &State{Plan: plan.NewIndex(p)} })
		}, code: 503, again: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startTarget(t, status(200, "", "fine"))
			w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, s)
			if test.change != nil {
				test.change(w)
			}
			request := w.request(t.Context(), t, test.key)
			if test.path != "" {
				request.URL.Path = test.path
			}
			if test.body != "" {
				request.Body = io.NopCloser(strings.NewReader(test.body))
				request.ContentLength = int64(len(test.body))
			}
			begun := time.Now()
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			if response.StatusCode != test.code || (response.Header.Get("Retry-After") != "") != test.again {
				t.Errorf("status %d, Retry-After %q; want %d", response.StatusCode, response.Header.Get("Retry-After"), test.code)
			}
			if s.count() != 0 {
				t.Error("a refused request has reached a target")
			}
			if took := time.Since(begun); took > 2*time.Second {
				t.Errorf("the refusal took %v", took)
			}
		})
	}
}

// All VMs have just started, and callers may retry only once. Retry-After is the
// time until a VM usually has a configuration, but at most the third of their time
// left that callers wait.
func TestReturnWhenItIsKnown(t *testing.T) {
	s := startTarget(t, status(200, "", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, s)
	w.server.State.Update(func(*State) *State { return &State{} })
	for left, want := range map[string][2]time.Duration{
		"12000": {configurationWait, 2 * configurationWait}, "3000": {time.Second, time.Second}, "600": {200 * time.Millisecond, 200 * time.Millisecond},
	} {
		_, _, response := w.ask(t, "k", "Left", left)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		after := time.Duration(seconds * float64(time.Second))
		if err != nil || after < want[0] || after > want[1] {
			t.Errorf("time left %s ms: Retry-After %v (%v), want %v to %v", left, after, err, want[0], want[1])
		}
	}
}

// A request whose target never answers gets status 504 at the route's timeout.
func TestTimeout(t *testing.T) {
	neverAnswer := func(conn net.Conn, _ *http.Request) { _, _ = conn.Read(make([]byte, 1)) }
	s := startTarget(t, neverAnswer)
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1, Timeout: 300 * time.Millisecond}, s)
	if code, _, _ := w.ask(t, "k"); code != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", code)
	}
}

// When the caller disconnects, the connection to the target is closed, so that the
// target can stop working.
func TestCallerLeaves(t *testing.T) {
	stopped := make(chan struct{})
	s := startTarget(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Read(make([]byte, 1))
		close(stopped)
	})
	w := newFixture(t, plan.Route{Kind: plan.Stream, Attempts: 1, Timeout: time.Minute}, s)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for s.count() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := http.DefaultTransport.RoundTrip(w.request(ctx, t, "k"))
	if err == nil {
		t.Fatal("the request was answered")
	}
	<-stopped
}

// During a planned stop, requests that may outlast it are refused as not run;
// the others are served.
func TestPlannedStop(t *testing.T) {
	s := startTarget(t, status(200, "", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1, Timeout: 5 * time.Second}, s)
	w.server.Stop(drain.Stop{Begun: time.Now().Add(-3 * time.Second), Accept: 2 * time.Second, Grace: 6 * time.Second})
	if code, _, response := w.ask(t, "k"); code != 503 || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d for a request that may outlast the stop", code)
	}
	if code, _, _ := w.ask(t, "k", "Left", "500"); code != 200 {
		t.Errorf("status %d for a short request", code)
	}
}

// The header that states that a request has not run is removed from answers of
// targets, and the header of a forwarding entry VM from requests of callers.
func TestTargetCannotPromiseForVM(t *testing.T) {
	s := startTarget(t, status(200, hopNotRun+": slow\r\n", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, s)
	if _, _, response := w.ask(t, "k", hopFrom, "forged"); response.Header.Get(hopNotRun) != "" {
		t.Error("the header of a target is passed on")
	}
	if got := s.seen[0].Header.Get(hopFrom); got != "" {
		t.Errorf("the target gets %s: %q of the caller", hopFrom, got)
	}
}

// The bound of a retry budget shrinks when more VMs become known, as it does while
// all VMs start at once and discover each other.
func TestRetriesFollowTheVMs(t *testing.T) {
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 2}, startTarget(t, reset))
	r := place.Request{Service: "s"}
	w.server.budget(r)
	w.server.Placer.SetRetryVMs(5)
	taken := 0
	for w.server.budget(r).Retry() {
		taken++
	}
	if taken != 2 {
		t.Errorf("%d retries of 10 for 5 VMs are allowed after the others became known, want 2", taken)
	}
}

// A request forwarded to another region runs there, or is refused there as not run.
// The header for that doesn't reach the caller.
func TestHop(t *testing.T) {
	s := startTarget(t, status(200, "", "fine"))
	there := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, s)
	hop := httptest.NewServer(http.HandlerFunc(there.server.ServeForwarded))
	t.Cleanup(hop.Close)
	here := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1})
	here.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Targets: 1}})
	here.server.Entries.Store(&[]entry.VM{{ID: "there", Region: "abroad", PeerAddress: hop.Listener.Addr().String(), Ready: true}})
	if code, body, _ := here.ask(t, "k"); code != 200 || body != "fine" {
		t.Errorf("status %d, body %q", code, body)
	}
	there.server.Placer.SetTargets(nil, func(string) string { return "" })
	if code, _, response := here.ask(t, "k"); code != 503 || response.Header.Get(hopNotRun) != "" {
		t.Errorf("status %d where the other region has no target", code)
	}
}

// coordinated adds another VM to a fixture and makes its service one of a model
// engine, so that the two VMs share the coordination of the targets.
// A request that waits at a target is taken back when another target crashes that has
// begun to answer one with the same part. The caller isn't told that it has not run.
func TestSuspectRequestIsTakenBack(t *testing.T) {
	left := make(chan struct{})
	var w *fixture
	silent := startTarget(t, func(conn net.Conn, _ *http.Request) {
		w.suspect("p")
		_, _ = conn.Read(make([]byte, 1))
		close(left)
	})
	w = newFixture(t, plan.Route{Kind: plan.Stream, Attempts: 1}, silent)
	begun := time.Now()
	code, _, _ := w.ask(t, "k", "Parts", "p:10,own:10", "Tokens", "20,5")
	if code != http.StatusBadGateway || time.Since(begun) > time.Second {
		t.Errorf("status %d after %v", code, time.Since(begun))
	}
	select {
	case <-left:
	case <-time.After(time.Second):
		t.Error("the target still works on the request")
	}
}

// The last part of a prompt belongs to the request alone. It is neither taken as a cause
// of crashes nor looked up among them.
func TestLastPartIsNoEvidence(t *testing.T) {
	target := startTarget(t, status(200, "", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, target)
	for _, boot := range []string{"1", "2"} {
		w.server.Quarantine.Report(boot, "other/"+boot, quarantine.Request{Service: "s", Organisation: boot, Parts: []string{"p"}, Fingerprint: boot}, true, true)
	}
	for parts, want := range map[string]int{"p:10,own:10": http.StatusServiceUnavailable, "own:10,p:10": http.StatusOK, "p:10": http.StatusOK} {
		if code, _, _ := w.ask(t, "k", "Parts", parts, "Tokens", "20,5"); code != want {
			t.Errorf("%s: status %d, want %d", parts, code, want)
		}
	}
}

// A region still gets requests when one of its VMs has refused one as it crashes targets, or
// as that VM stops or isn't confirmed.
func TestRefusalsThatAreNotOfTheRegionAreNoBackoff(t *testing.T) {
	for reason, backoff := range map[string]bool{suspectReason: false, quarantinedReason: false, stoppingReason: false, notConfirmed: false, "slow": true} {
		there := startTarget(t, status(503, hopNotRun+": "+reason+"\r\n", ""))
		here := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1})
		here.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Targets: 1}})
		here.server.Entries.Store(&[]entry.VM{{ID: "there", Region: "abroad", PeerAddress: there.address, Ready: true}})
		if code, _, _ := here.ask(t, "k"); code != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d", reason, code)
		}
		if got := here.server.regions.InBackoff(regionRoute{"abroad", "r"}, time.Now()); got != backoff {
			t.Errorf("%s: the region is in backoff: %v", reason, got)
		}
	}
}

// A request whose own time ends soon says nothing about the VM that it was forwarded to.
// One that waits for long in vain does.
func TestShortRequestsBlameNoVM(t *testing.T) {
	for left, blamed := range map[string]bool{"400": false, "1500": true} {
		inVirtualTime(t, func(t *testing.T, v *virtual) {
			silent := v.target(t, func(net.Conn, *http.Request) {})
			here := v.fixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1})
			here.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Targets: 1}})
			here.server.Entries.Store(&[]entry.VM{{ID: "there", Region: "abroad", PeerAddress: silent.address, Ready: true}})
			if code, _, _ := here.ask(t, "k", testHeaders.TimeLeft, left); code != http.StatusGatewayTimeout {
				t.Errorf("%s ms left: status %d", left, code)
			}
			if got := here.server.partners.InBackoff("there", time.Now()); got != blamed {
				t.Errorf("%s ms left: the VM is in backoff: %v", left, got)
			}
		})
	}
}

func (w *fixture) coordinated(t *testing.T, vm, address string) {
	t.Helper()
	state := *w.server.State.Read()
	p := state.Plan.Plan
	p.Services = []plan.Service{{Name: "s", MemoryTokens: 1000}}
	w.server.State.Update(func(*State) *State { return &State{Plan: plan.NewIndex(p)} })
	w.server.Coordinators = coordinator.NewClient(peer.NewUnsigned("vm"), w.server.Log)
	w.server.Entries.Store(&[]entry.VM{{ID: vm, Region: "region", PeerAddress: address, Ready: true}})
	w.server.Placer.SetVMs([]string{"vm", vm}, []string{"vm", vm})
}

// Requests run at targets that the other VM of the region has reserved. When that
// VM doesn't answer, this VM chooses from its own data.
func TestCoordinatorGivesPlaces(t *testing.T) {
	const count = 16
	var targets []*target
	for range count {
		targets = append(targets, startTarget(t, status(200, "", "fine")))
	}
	here := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, targets...)
	there := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, targets...)
	places := coordinator.NewServer(there.server.Placer, func() map[string]bool { return nil }, there.server.Lease.Valid, here.server.Log)
	web := httptest.NewServer(places.Handler(peer.NewUnsigned("there").Credentials))
	t.Cleanup(web.Close)
	here.coordinated(t, "there", web.Listener.Addr().String())
	own := here.server.Placer.Coordinated()
	if own == 0 || own == count {
		t.Fatalf("this VM coordinates %d of %d targets; the test needs targets of both VMs", own, count)
	}
	const requests = 3 * count
	for i := range requests {
		if code, body, _ := here.ask(t, "k"); code != 200 || body != "fine" {
			t.Fatalf("request %d: status %d, body %q", i, code, body)
		}
	}
	asked := places.Given()
	if asked == 0 || asked == requests {
		t.Errorf("%d of %d places came from the other VM", asked, requests)
	}
	web.Close()
	for i := range requests {
		if code, _, _ := here.ask(t, "k"); code != 200 {
			t.Fatalf("request %d without a coordinator: status %d", i, code)
		}
	}
}

// A region that has lost an answer retries with the runs that it was given. If
// several runs are left, the forwarding VM keeps one.
func TestHopTriesAgain(t *testing.T) {
	neverAnswer := func(net.Conn, *http.Request) {}
	tests := []struct {
		name  string
		route plan.Route
		code  int
		sends int
	}{
		{"repeatable", plan.Route{Kind: plan.Idempotent, Attempts: 3}, 200, 2},
		{"repeatable, two attempts", plan.Route{Kind: plan.Idempotent, Attempts: 2, Timeout: 3 * time.Second}, 504, 1},
		{"repeatable, one attempt", plan.Route{Kind: plan.Idempotent, Attempts: 1, Timeout: time.Second}, 504, 1},
		{"not repeatable", plan.Route{Kind: plan.NonIdempotent, Attempts: 2, Timeout: time.Second}, 504, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startTarget(t, neverAnswer, status(200, "", "fine"))
			there := newFixture(t, test.route, s, s)
			hop := httptest.NewServer(http.HandlerFunc(there.server.ServeForwarded))
			t.Cleanup(hop.Close)
			here := newFixture(t, test.route)
			here.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Targets: 1}})
			here.server.Entries.Store(&[]entry.VM{{ID: "there", Region: "abroad", PeerAddress: hop.Listener.Addr().String(), Ready: true}})
			code, _, _ := here.ask(t, "k")
			if code != test.code || s.count() != test.sends {
				t.Errorf("status %d after %d sends, want %d after %d", code, s.count(), test.code, test.sends)
			}
		})
	}
}

// The header for the runs that are left is ignored in requests of callers.
func TestCallersSetNoRuns(t *testing.T) {
	s := startTarget(t, reset)
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, s, s, s)
	w.ask(t, "k", hopRuns, "9")
	if s.count() != 1 {
		t.Errorf("%d sends on a route of one attempt", s.count())
	}
}

// The connection to another region goes silent after a request was forwarded, or
// the region answers with an error. A repeatable request is forwarded to the next
// region; any other gets the timeout or the error.
func TestSilentRegionIsLeft(t *testing.T) {
	neverAnswer, fail := func(net.Conn, *http.Request) {}, status(502, "", "")
	for name, test := range map[string]struct {
		kind   plan.Kind
		answer func(net.Conn, *http.Request)
		code   int
	}{
		"repeatable": {plan.Idempotent, neverAnswer, 200}, "not repeatable": {plan.NonIdempotent, neverAnswer, 504},
		"repeatable, failed": {plan.Idempotent, fail, 200}, "not repeatable, failed": {plan.NonIdempotent, fail, 502},
	} {
		t.Run(name, func(t *testing.T) {
			silent := startTarget(t, test.answer)
			route := plan.Route{Kind: test.kind, Attempts: 2, Timeout: 4 * time.Second}
			there := newFixture(t, route, startTarget(t, status(200, "", "fine")))
			hop := httptest.NewServer(http.HandlerFunc(there.server.ServeForwarded))
			t.Cleanup(hop.Close)
			here := newFixture(t, route)
			here.server.Placer.SetRemote([]place.Remote{
				{Service: "s", DataCentre: "first", Region: "first", Targets: 1},
				{Service: "s", DataCentre: "second", Region: "second", Targets: 1},
			})
			first := here.server.Placer.Regions(place.Request{Service: "s", Now: time.Now()})[0]
			address := map[bool]string{true: silent.address, false: hop.Listener.Addr().String()}
			here.server.Entries.Store(&[]entry.VM{
				{ID: "a", Region: "first", PeerAddress: address[first == "first"], Ready: true},
				{ID: "b", Region: "second", PeerAddress: address[first == "second"], Ready: true},
			})
			if code, _, _ := here.ask(t, "k"); code != test.code {
				t.Errorf("status %d, want %d", code, test.code)
			}
			if silent.count() != 1 {
				t.Errorf("%d sends to the silent region", silent.count())
			}
		})
	}
}
