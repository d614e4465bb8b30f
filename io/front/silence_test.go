package front

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"kingcuprill/core/plan"
)

// pausing answers like a sound target that is silent for a while, before the head or in
// the middle of the answer.
func pausing(kind plan.Kind, pause time.Duration, beforeHead bool) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		if beforeHead {
			time.Sleep(pause)
			pause = 0
		}
		if kind == plan.Stream {
			streamWithPause(conn, request, pause)
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 4\r\n\r\nfi", request.Header.Get("Id"))
		time.Sleep(pause)
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
