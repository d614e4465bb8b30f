package route_test

import (
	"fmt"
	"testing"
	"time"

	"kingcuprill/core/route"
	"kingcuprill/core/target"
)

func table(t *testing.T, count int) *target.Table {
	t.Helper()
	targets := target.NewTable(time.Hour)
	for i := range count {
		targets.Announce(target.Announcement{
			ID: fmt.Sprint("t", i), BootID: "b", Service: "planner", Kind: target.Engine, Models: []string{"m"}, Capacity: 4,
		}, time.Now())
	}
	return targets
}

var weights = route.Weights{ServiceTime: time.Second, ColdByte: time.Millisecond, ReportHalving: time.Second, AwayPenalty: time.Second, LinkLatency: 55 * time.Millisecond}

// TestWarmTargetIsChosen expects prompts with one prefix to go to the one target
// of many that has it cached, until that target is overloaded.
func TestWarmTargetIsChosen(t *testing.T) {
	targets := table(t, 100)
	prompt := string(make([]byte, 4*target.PrefixBlock))
	request := route.Request{Service: "planner", Model: "m", Prefixes: target.PrefixHashes("m", prompt), Bytes: len(prompt)}
	policy := route.Predicted{Weights: weights}
	choose := func() *target.Target {
		row, _, found := route.Choose(policy, request, route.Eligible(targets.View.Read(), request, time.Now()), time.Now())
		if !found {
			t.Fatal("no target was chosen")
		}
		return row
	}
	first := choose()
	first.Live.Prefixes.Add(request.Prefixes...)
	for range 50 {
		if got := choose(); got != first {
			t.Fatalf("%s was chosen, %s has the prompt cached", got.ID, first.ID)
		}
	}
	first.Live.InFlight.Store(40)
	if choose() == first {
		t.Fatal("a target with ten times its capacity in flight was chosen")
	}
}

// TestIneligibleTargets expects Eligible to leave out targets that are leaving,
// whose lease has expired, whose circuit is open or that lack the model,
// wherever the sample starts.
func TestIneligibleTargets(t *testing.T) {
	targets := table(t, 40)
	now := time.Now()
	for i := range 39 {
		id := fmt.Sprint("t", i)
		switch i % 3 {
		case 0:
			targets.Leave(id, "b")
		case 1:
			row := targets.View.Read().ByID[id]
			for range 3 {
				row.Live.Circuit.Failed()
			}
		case 2:
			targets.Announce(target.Announcement{ID: id, BootID: "b", Service: "planner", Models: []string{"other"}, Capacity: 4}, now)
		}
	}
	// A delayed announcement must not make a leaving target eligible again.
	targets.Announce(target.Announcement{ID: "t0", BootID: "b", Service: "planner", Models: []string{"m"}, Capacity: 4}, now)
	request := route.Request{Service: "planner", Model: "m"}
	for range 100 {
		rows := route.Eligible(targets.View.Read(), request, now)
		if len(rows) != 1 || rows[0].ID != "t39" {
			t.Fatalf("%d targets are eligible, want t39 alone", len(rows))
		}
	}
	if rows := route.Eligible(targets.View.Read(), request, now.Add(2*time.Hour)); len(rows) != 0 {
		t.Fatalf("%d targets are eligible after their lease", len(rows))
	}
}

// TestSuspectsAreKeptApart expects a suspect request not to be sent to a target
// that already runs one.
func TestSuspectsAreKeptApart(t *testing.T) {
	targets := table(t, 2)
	targets.View.Read().ByID["t0"].Live.Suspects.Store(1)
	rows := route.Eligible(targets.View.Read(), route.Request{Service: "planner", Suspect: true}, time.Now())
	if len(rows) != 1 || rows[0].ID != "t1" {
		t.Fatalf("%d targets for a suspect, want t1 alone", len(rows))
	}
}

// TestAwayOnlyWhenWorthIt expects a request to leave the region only if the wait
// elsewhere is shorter by more than the link latency and the penalty.
func TestAwayOnlyWhenWorthIt(t *testing.T) {
	away := route.PredictedRemote{Weights: weights}
	near := route.Remote{DataCentre: "near", Capacity: 10, InFlight: 12, SameRegion: true}
	far := route.Remote{DataCentre: "far", Capacity: 10, InFlight: 0}
	best, _, _ := route.Choose(away, route.Request{}, []route.Remote{far, near}, time.Now())
	if best.DataCentre != "far" && away.Cost(route.Request{}, far, time.Now()) < away.Cost(route.Request{}, near, time.Now()) {
		t.Fatalf("%s was chosen although far costs less", best.DataCentre)
	}
	near.InFlight = 5
	if best, _, _ = route.Choose(away, route.Request{}, []route.Remote{far, near}, time.Now()); best.DataCentre != "near" {
		t.Fatalf("%s was chosen for a wait that is shorter by half a second, with a penalty of one", best.DataCentre)
	}
}
