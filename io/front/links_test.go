package front

import (
	"net"
	"net/http"
	"testing"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/plan"
)

// unreachable returns targets that don't listen.
func unreachable(t *testing.T, count int) (targets []*target) {
	t.Helper()
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
		targets = append(targets, &target{address: listener.Addr().String()})
	}
	return targets
}

// A VM reaches no target, and another VM of its region does. Its callers are served at
// their first try, the first one included.
func TestCallersOfAVMWithoutLinksAreServed(t *testing.T) {
	for _, kind := range []plan.Kind{plan.Idempotent, plan.NonIdempotent, plan.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			answer := status(200, "", "fine")
			if kind == plan.Stream {
				answer = stream(true, 1, 2)
			}
			route := plan.Route{Kind: kind, Attempts: 2}
			neighbour := newFixture(t, route, startTarget(t, answer))
			here := newFixture(t, route, unreachable(t, 6)...)
			vms := []entry.VM{neighbour.abroad(t, "region"), {ID: "vm", Region: "region", Ready: true}}
			here.server.Entries.Store(&vms)
			for i := range 20 {
				begun := time.Now()
				if code, body, _ := here.ask(t, "k"); code != http.StatusOK || time.Since(begun) > time.Second {
					t.Fatalf("request %d: status %d, body %q after %v", i, code, body, time.Since(begun))
				}
			}
		})
	}
}
