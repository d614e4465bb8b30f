package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprill/core/plan"
)

// pausing answers like a sound target that is silent for a while, before the head or in
// the middle of the answer.
func pausing(kind plan.Kind, pause time.Duration, beforeHead bool) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		first, later := time.Duration(0), pause
		if beforeHead {
			first, later = pause, 0
		}
		time.Sleep(first)
		if kind == plan.Stream {
			streamWithPause(conn, request, later)
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 4\r\n\r\nfi", request.Header.Get("Id"))
		time.Sleep(later)
		fmt.Fprint(conn, "ne")
	}
}

// streamWithPause sends the events that the caller doesn't have yet, of three.
func streamWithPause(conn net.Conn, request *http.Request, pause time.Duration) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= 3; id++ {
		if id == 2 {
			time.Sleep(pause)
		}
		event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	fmt.Fprint(conn, "0\r\n\r\n")
}

// A sound target is silent for a while and goes on. The answer must not end for that,
// whatever the targets do that are asked meanwhile.
func TestAnswersOfSilentTargetsAreWhole(t *testing.T) {
	const gap = 300 * time.Millisecond
	whole := map[plan.Kind]string{plan.Idempotent: "fine", plan.NonIdempotent: "fine", plan.Stream: "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"}
	routes := []plan.Route{
		{Kind: plan.Stream, Resumable: true, Attempts: 2, MaxGap: gap},
		{Kind: plan.Stream, Attempts: 2, MaxGap: gap},
		{Kind: plan.Idempotent, Attempts: 2},
		{Kind: plan.NonIdempotent, Attempts: 2},
	}
	for _, route := range routes {
		for _, pause := range []time.Duration{gap, 1200 * time.Millisecond, 2 * time.Second} {
			for _, beforeHead := range []bool{false, true} {
				sound := pausing(route.Kind, pause, beforeHead)
				for name, others := range map[string]func(net.Conn, *http.Request){
					"refuse": status(503, "Not-Run: 1\r\n", ""), "fail": status(500, "", "bad"), "break off": reset, "are silent": sound,
				} {
					t.Run(fmt.Sprintf("%v %v resumable %v, %v before head %v, others %s", route.Kind, route.Attempts, route.Resumable, pause, beforeHead, name), func(t *testing.T) {
						t.Parallel()
						shared := startTarget(t, sound, others)
						w := newFixture(t, route, shared, shared, shared)
						// A slow machine doesn't count as lost links.
						w.server.Links.Neighbour = func() (string, bool) { return unreachable(t, 1)[0].address, true }
						code, body, _ := w.ask(t, "k")
						if code != http.StatusOK || body != whole[route.Kind] {
							t.Errorf("status %d, body %q", code, body)
						}
					})
				}
			}
		}
	}
}

// The links of a VM count as lost while a target is silent in the middle of an answer, and
// no other VM takes the request. The answer goes on when the target does.
func TestLostLinksEndNoAnswer(t *testing.T) {
	for _, route := range []plan.Route{{Kind: plan.Stream, Resumable: true, Attempts: 3}, {Kind: plan.Idempotent, Attempts: 3}} {
		t.Run(route.Kind.String(), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, v *virtual) {
				const pause = 1500 * time.Millisecond
				silent := v.target(t, pausing(route.Kind, pause, false))
				w := v.fixture(t, route, silent)
				time.AfterFunc(pause/3, func() {
					silent.listener.Close() // open connections live on
					for i, s := range v.unreachable(t, 3) {
						_ = w.server.Targets.Connect(t.Context(), fmt.Sprint("t", i), s.address)
					}
					if !w.server.Links.Lost() {
						t.Error("the links aren't lost")
					}
				})
				if code, body, _ := w.ask(t, "k"); code != http.StatusOK || len(body) < len("fine") {
					t.Errorf("status %d, body %q", code, body)
				}
			})
		})
	}
}

// A target was silent and goes on, or another one has gone on with the answer. The one of
// the two that isn't needed is told at once.
func TestHedgedTriesAreEnded(t *testing.T) {
	// The timeout of a try is 1.5 s.
	for name, test := range map[string]struct {
		first, second time.Duration // until the targets go on
		engine        bool
		lost          int // request that is ended
	}{
		"silent one goes on":                   {first: 3 * time.Second, second: 6 * time.Second, lost: 1},
		"other one goes on":                    {first: 4500 * time.Millisecond, lost: 0},
		"another engine works, silent as well": {first: 4500 * time.Millisecond, second: 2 * time.Second, engine: true, lost: 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			left := make(chan int, 2)
			var requests atomic.Int64
			answer := func(conn net.Conn, request *http.Request) {
				number := int(requests.Add(1)) - 1
				wait := []time.Duration{test.first, test.second}[min(number, 1)]
				_ = conn.SetReadDeadline(time.Now().Add(wait))
				if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
					left <- number
					return
				}
				_ = conn.SetReadDeadline(time.Time{})
				streamWithPause(conn, request, 0)
			}
			shared := startTarget(t, answer)
			w := newFixture(t, plan.Route{Kind: plan.Stream, Resumable: true, Attempts: 2, MaxGap: 100 * time.Millisecond}, shared, shared)
			if test.engine {
				w.runEngines()
			}
			if code, _, _ := w.ask(t, "k"); code != http.StatusOK {
				t.Errorf("status %d", code)
			}
			select {
			case number := <-left:
				if number != test.lost {
					t.Errorf("request %d is ended, want %d", number, test.lost)
				}
			case <-time.After(time.Second):
				t.Error("no request is ended")
			}
		})
	}
}

// The caller leaves while two targets have its request. Both are told.
func TestCallerLeavesHedgedRequest(t *testing.T) {
	left := make(chan bool, 2)
	shared := startTarget(t, func(conn net.Conn, _ *http.Request) {
		_, err := conn.Read(make([]byte, 1))
		left <- errors.Is(err, io.EOF)
	})
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 2}, shared, shared)
	ctx, leave := context.WithTimeout(t.Context(), 2*time.Second)
	defer leave()
	if _, err := http.DefaultTransport.RoundTrip(w.request(ctx, t, "k")); err == nil {
		t.Fatal("the request was answered")
	}
	for range 2 {
		select {
		case told := <-left:
			if !told {
				t.Error("the connection didn't end in order")
			}
		case <-time.After(time.Second):
			t.Fatal("a target still works")
		}
	}
}
