package front

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/io/rig/closedport"
)

// unreachable returns targets that don't listen.
func unreachable(t *testing.T, count int) (targets []*target) {
	t.Helper()
	for range count {
		targets = append(targets, &target{address: closedport.New(t)})
	}
	return targets
}

// A VM reaches no target, and another VM of its region does. Its callers are served at
// their first try, the first one included.
func TestCallersOfAVMWithoutLinksAreServed(t *testing.T) {
	for _, kind := range []plan.Kind{plan.Idempotent, plan.NonIdempotent, plan.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, v *virtual) { v.serveWithoutLinks(t, kind) })
		})
	}
}

func (v *virtual) serveWithoutLinks(t *testing.T, kind plan.Kind) {
	t.Helper()
	answer := status(200, "", "fine")
	if kind == plan.Stream {
		answer = stream(true, 1, 2)
	}
	route := plan.Route{Kind: kind, Attempts: 2}
	neighbour := v.fixture(t, route, v.target(t, answer))
	here := v.fixture(t, route, v.unreachable(t, 6)...)
	here.server.Entries.Store(&[]entry.VM{v.abroad(t, neighbour, "region"), {ID: "vm", Region: "region", Ready: true}})
	for i := range 20 {
		begun := time.Now()
		if code, body, _ := here.ask(t, "k"); code != http.StatusOK || time.Since(begun) > time.Second {
			t.Fatalf("request %d: status %d, body %q after %v", i, code, body, time.Since(begun))
		}
	}
}

// Connections to targets live on while new ones are refused. Callers are served over the
// kept ones, and over another VM when these aren't enough.
func TestKeptConnectionsLiveOnWhileNewOnesAreRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, v *virtual) {
		slow := func(conn net.Conn, request *http.Request) {
			time.Sleep(20 * time.Millisecond)
			status(200, "", "fine")(conn, request)
		}
		route := plan.Route{Kind: plan.NonIdempotent, Attempts: 2}
		neighbour := v.fixture(t, route, v.target(t, slow), v.target(t, slow))
		targets := []*target{v.target(t, slow), v.target(t, slow), v.target(t, slow)}
		here := v.fixture(t, route, targets...)
		here.server.Entries.Store(&[]entry.VM{v.abroad(t, neighbour, "region"), {ID: "vm", Region: "region", Ready: true}})
		for range 12 {
			here.ask(t, "k")
		}
		for _, s := range targets {
			s.listener.Close()
		}
		var group sync.WaitGroup
		for range 40 {
			group.Go(func() {
				begun := time.Now()
				if code, body, _ := here.ask(t, "k"); code != http.StatusOK || time.Since(begun) > time.Second {
					t.Errorf("status %d, body %q after %v", code, body, time.Since(begun))
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
	})
}

// A request that may run once was sent over another VM, which lost its answer, while this
// VM's own links came back. It must not run here.
func TestRequestThatWentAroundRunsOnce(t *testing.T) {
	targets := unreachable(t, 6)
	var here *fixture
	own := startTarget(t, status(200, "", "fine"))
	runs := startTarget(t, func(conn net.Conn, _ *http.Request) {
		if err := here.server.Targets.Connect(t.Context(), "t0", own.address); err != nil {
			t.Error(err)
		}
		conn.Close()
	})
	here = newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 3}, targets...)
	here.server.Entries.Store(&[]entry.VM{{ID: "other", Region: "region", PeerAddress: runs.address, Ready: true}})
	for i := range 3 {
		_ = here.server.Targets.Connect(t.Context(), fmt.Sprint("t", i), targets[i].address)
	}
	if !here.server.Links.Lost() {
		t.Fatal("the links aren't lost")
	}
	here.register([]*target{own}, "")
	if code, _, _ := here.ask(t, "k"); code != http.StatusBadGateway || own.count() != 0 || runs.count() != 1 {
		t.Errorf("status %d; %d runs here, %d over the other VM", code, own.count(), runs.count())
	}
}

// A target can't be reached. Another one is tried, though the retry budget is used up:
// nothing was sent yet.
func TestUnsentTriesTakeNoRetries(t *testing.T) {
	good := startTarget(t, status(200, "", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, unreachable(t, 1)[0], good)
	w.server.Placer.Retries = place.Retries{Ratio: 0.001, Slack: 0.001}
	for i := range 20 {
		if code, _, _ := w.ask(t, "k"); code != http.StatusOK {
			t.Fatalf("request %d: status %d", i, code)
		}
	}
}

// A request that a VM of the same region hands over has not come from another region, and
// isn't refused sooner for that time.
func TestNeighboursRequestsHaveTheWholeBound(t *testing.T) {
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1})
	w.server.Entries.Store(&[]entry.VM{{ID: "neighbour", Region: "region"}, {ID: "abroad", Region: "abroad"}})
	const objective = time.Second
	own := time.Duration(boundShare * float64(objective))
	for from, want := range map[string]time.Duration{"": own, "neighbour": own, "abroad": own - interRegionLatency, "unknown": own - interRegionLatency} {
		now := time.Now()
		x := &exchange{server: w.server, arrived: now, from: from, route: plan.Route{Objective: objective}}
		if got := x.bound(now); got != want {
			t.Errorf("from %q: bound %v, want %v", from, got, want)
		}
	}
}
