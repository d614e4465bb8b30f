package place

import (
	"fmt"
	"testing"
	"time"

	"kingcuprill/core/instance"
)

func sharedDemand(part, own string) Demand {
	return Demand{Prompt: 5000, Output: 100, Parts: []Part{{part, 4000}, {own, 1000}}}
}

// Many requests share one long part, and the target that has read it is full.
// Requests at other targets fetch the part, and their predicted work is without
// it.
func TestSharedPartsAreFetched(t *testing.T) {
	const slots = 4
	p := placers(1, 3, func(r *instance.Registration) { r.Slots, r.Address = slots, "at-"+r.ID })[0]
	request := func(i int, fetch bool) Request {
		return Request{Service: "llm", Sticky: true, Now: start, PreferredBound: time.Second, Memory: 1_000_000, Coordinated: true, Fetch: fetch, Demand: sharedDemand("part", fmt.Sprint(i))}
	}
	first, _, _ := p.Pick(request(0, true))
	if first.Source() != "" {
		t.Fatalf("the first request fetches from %s", first.Source())
	}
	fetched := 0
	for i := 1; i < 2*slots; i++ {
		assignment, _, reason := p.Pick(request(i, true))
		if assignment == nil {
			t.Fatalf("request %d: %s", i, reason)
		}
		if assignment.Target.ID == first.Target.ID {
			if assignment.Source() != "" {
				t.Errorf("request %d fetches to the target that has read the part", i)
			}
			continue
		}
		if assignment.Source() == "" && assignment.Target.missingShared(request(i, true).Demand) > 0 {
			t.Errorf("request %d reads the part again at %s", i, assignment.Target.ID)
		}
		if assignment.Source() != "" {
			fetched++
		}
		if assignment.work > 1000 {
			t.Errorf("request %d is predicted to read %d tokens", i, assignment.work)
		}
	}
	if fetched == 0 {
		t.Error("nothing was fetched: the test proves nothing")
	}
	for i := range 3 * slots {
		if assignment, _, _ := p.Pick(request(100+i, false)); assignment != nil && assignment.Source() != "" {
			t.Error("a request of an engine that doesn't fetch does so")
		}
	}
}

// A target that was displaced can't be a source, and a prompt without shared
// parts has none.
func TestSourceMustBeUsable(t *testing.T) {
	p := placers(1, 3, nil)[0]
	r := Request{Service: "llm", Sticky: true, Now: start, Fetch: true, Home: "t0", Demand: sharedDemand("part", "own")}
	if got := p.sources(r, nil)[""]; got == nil || got.ID != "t0" {
		t.Fatalf("source %v, want t0", got)
	}
	p.MarkDisplaced("t0", start)
	if got := p.sources(r, nil)[""]; got != nil {
		t.Errorf("source %v, though it was displaced", got.ID)
	}
	r.Home, r.Demand.Parts = "t1", r.Demand.Parts[1:]
	if got := p.sources(r, nil)[""]; got != nil {
		t.Errorf("source %v of a prompt that shares nothing", got.ID)
	}
}

// The memory of shared parts is fetched from targets of the same version only.
func TestPartsOfAnotherVersionAreNotFetched(t *testing.T) {
	versions := map[string]string{"t0": "v1", "t1": "v2", "t2": "v2"}
	p := placers(1, 3, func(r *instance.Registration) { r.Version = versions[r.ID] })[0]
	r := Request{Service: "llm", Sticky: true, Now: start, Fetch: true, Home: "t0", Demand: sharedDemand("part", "own")}
	for _, id := range []string{"t0", "t2"} {
		p.targets[id].recordParts(r.Demand, 0, start)
	}
	all := p.sources(r, nil)
	if p.targets["t1"].fetches(r, all) != true || all["v2"].ID != "t2" {
		t.Errorf("t1 fetches from %v", all["v2"])
	}
	p.MarkDisplaced("t2", start)
	if all := p.sources(r, nil); p.targets["t1"].fetches(r, all) {
		t.Errorf("t1 fetches from %v, of another version", all["v2"])
	}
}
