package front

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
)

// runEngines makes the targets of the fixture engines, which hold requests in memory.
func (w *fixture) runEngines() {
	w.changePlan(func(p *plan.Plan) { p.Services[0].MemoryTokens = 1 << 20 })
}

// after answers after a while.
func after(wait time.Duration, answer func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		time.Sleep(wait)
		answer(conn, request)
	}
}

// The answer of a silent engine was ended 300 ms after another one had got the request, which then brought nothing.
func TestEnginesTakeNoStreamOverBeforeTheyBegin(t *testing.T) {
	const late = 600 * time.Millisecond // longer than a refusal takes
	for name, other := range map[string]func(net.Conn, *http.Request){
		"refuses": after(late, status(503, "Not-Run: 1\r\n", "")), "fails": after(late, status(500, "", "bad")),
		"breaks off": after(late, reset), "is silent too": after(10*time.Second, reset),
	} {
		for _, beforeHead := range []bool{false, true} {
			for _, abroad := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, before head %v, abroad %v", name, beforeHead, abroad), func(t *testing.T) {
					t.Parallel()
					route := plan.Route{Kind: plan.Stream, Resumable: true, Attempts: 2, MaxGap: 100 * time.Millisecond, Timeout: 8 * time.Second}
					sound := pausing(plan.Stream, 3*time.Second, beforeHead)
					shared := startTarget(t, sound, other)
					targets := []*target{shared, shared}
					if abroad {
						targets = []*target{startTarget(t, sound)}
					}
					w := newFixture(t, route, targets...)
					w.runEngines()
					if abroad {
						there := newFixture(t, route, startTarget(t, other))
						there.runEngines()
						w.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "there", Region: "there", Targets: 1}})
						w.server.Entries.Store(&[]entry.VM{there.abroad(t, "there")})
					}
					if code, body, _ := w.ask(t, "k"); code != http.StatusOK || body != "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n" {
						t.Errorf("status %d, body %q", code, body)
					}
				})
			}
		}
	}
}

// A silent engine must stop once another one has begun to run its stream, and not only when that one ends.
func TestSilentEnginesEndOnceAnotherBegins(t *testing.T) {
	t.Parallel()
	ended := make(chan struct{})
	silent := func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
	}
	second := func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\nid: 1\ndata: 1\n\n", request.Header.Get("Id"), streamHeader)
		select {
		case <-ended:
		case <-time.After(3 * time.Second):
			t.Error("both engines work")
		}
		conn.Close()
	}
	shared := startTarget(t, silent, second)
	w := newFixture(t, plan.Route{Kind: plan.Stream, Resumable: true, Attempts: 2, Timeout: 8 * time.Second}, shared, shared)
	w.runEngines()
	if code, body, _ := w.ask(t, "k"); code != http.StatusOK || body != "id: 1\ndata: 1\n\n" {
		t.Errorf("status %d, body %q", code, body)
	}
}

// A target is silent and then lost. Until then, tries beside it were refused, and used up all tries of the request.
func TestRefusalsBesideASilentTargetLeaveTries(t *testing.T) {
	refused, fine := status(503, "Not-Run: 1\r\n", ""), status(200, "", "fine")
	lost := after(2500*time.Millisecond, reset)
	for name, test := range map[string]struct {
		route plan.Route
		first func(net.Conn, *http.Request)
		last  func(net.Conn, *http.Request)
	}{
		"before the head": {plan.Route{Kind: plan.Idempotent, Attempts: 2}, lost, fine},
		"in mid-stream":   {plan.Route{Kind: plan.Stream, Resumable: true, Attempts: 2, MaxGap: 100 * time.Millisecond}, silentAfterBegin(1500 * time.Millisecond), stream(true, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shared := startTarget(t, test.first, refused, refused, refused, test.last)
			w := newFixture(t, test.route, shared, shared, shared, shared, shared, shared)
			if code, body, _ := w.ask(t, "k"); code != http.StatusOK || shared.count() != 5 {
				t.Errorf("status %d, body %q after %d requests", code, body, shared.count())
			}
		})
	}
}

// silentAfterBegin begins a stream and breaks it off after a silence.
func silentAfterBegin(pause time.Duration) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%sTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n", request.Header.Get("Id"), streamHeader)
		time.Sleep(pause)
		conn.Close()
	}
}
