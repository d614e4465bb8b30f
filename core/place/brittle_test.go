package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kingcuprill/core/brittle"
	"kingcuprill/core/instance"
)

// Targets of a plain service let no request wait any more and fail when they refuse more
// than a few in a second. VMs that send twice what all targets can take, some of which
// restart and some of which run requests of others too, keep them below that.
func TestBrittleTargetsAreNotMadeToRefuse(t *testing.T) {
	for _, vms := range []int{1, 2, 6, 30} {
		for _, most := range []int{1, 3, 8} {
			refused, served := playBrittle(vms, most)
			if refused > most {
				t.Errorf("%d VMs: a target refused %d requests in a second, it survives %d", vms, refused, most)
			}
			if served < 800 {
				t.Errorf("%d VMs, %d refusals survived: %d requests were served", vms, most, served)
			}
		}
	}
}

func playBrittle(vms, most int) (refused, served int) {
	const targets, slots, perSecond, seconds = 6, 8, 400, 8 // runs of 0.2 s: 240 a second
	random := rand.New(rand.NewPCG(uint64(vms), uint64(most)))
	all := placers(vms, targets, func(r *instance.Registration) { r.Slots = slots })
	byID := map[string]*Placer{}
	for _, p := range all {
		byID[p.Self] = p
		for id := range p.targets {
			p.ObserveBrittle(id, brittle.Notice{Named: true, Most: most}, start)
		}
	}
	type run struct {
		assignment *Assignment
		end        time.Time
	}
	var runs []run
	running, refusals := map[string]int{}, map[string][]time.Time{}
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		left := runs[:0]
		for _, r := range runs {
			if r.end.After(now) {
				left = append(left, r)
				continue
			}
			r.assignment.Done(Success, r.end)
			running[r.assignment.Target.ID]--
			served++
		}
		runs = left
		assignment := pick(all[random.IntN(vms)], byID, Request{
			Service: "llm", Now: now, Deadline: now.Add(time.Minute), Demand: Demand{Parts: []Part{{fmt.Sprint(i), 1}}},
		}, true)
		if assignment == nil {
			continue
		}
		id := assignment.Target.ID
		// One slot is taken by others now and then.
		if running[id] >= slots-random.IntN(2) {
			assignment.Done(Refused, now)
			refusals[id] = append(refusals[id], now)
			recent := 0
			for _, at := range refusals[id] {
				if now.Sub(at) < time.Second {
					recent++
				}
			}
			refused = max(refused, recent)
			continue
		}
		running[id]++
		runs = append(runs, run{assignment: assignment, end: now.Add(200 * time.Millisecond)})
	}
	return refused, served
}

// A target is brittle as long as its answers say so, and requests of its service then go
// over the coordinators.
func TestBrittleTargetsNeedCoordination(t *testing.T) {
	p := placers(1, 2, func(r *instance.Registration) { r.Slots = 100 })[0]
	r := Request{Service: "llm", Now: start}
	p.ObserveBrittle("t0", brittle.Notice{Named: true, Most: 2}, start)
	if !p.NeedsCoordination(r) || !p.IsBrittle("t0") {
		t.Error("not coordinated")
	}
	p.ObserveBrittle("t0", brittle.Notice{}, start.Add(time.Second))
	if p.NeedsCoordination(r) || p.IsBrittle("t0") {
		t.Error("coordinated after the end")
	}
}
