package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kingcuprill/core/instance"
)

// 27 VMs send to 70 targets of 12 slots at nine tenths of their capacity. With
// coordination no target is overloaded and few requests are refused; VMs that
// select targets independently overload some.
func TestCoordinatedTargetsAreNotOverrun(t *testing.T) {
	const vms, targets, slots, perSecond = 27, 70, 12, 360 // runs of 2 s: 720 of 840 slots
	coordinated := countOverloads(t, vms, targets, slots, perSecond, true)
	alone := countOverloads(t, vms, targets, slots, perSecond, false)
	t.Logf("above their slots: coordinated %d, alone %d; refused: coordinated %d, alone %d of %d",
		coordinated.overloaded, alone.overloaded, coordinated.refused, alone.refused, coordinated.asked)
	if coordinated.overloaded > 0 {
		t.Errorf("%d requests were sent to a target above its bound", coordinated.overloaded)
	}
	if coordinated.refused*50 > coordinated.asked {
		t.Errorf("%d of %d requests refused, though targets have free slots", coordinated.refused, coordinated.asked)
	}
	if alone.overloaded == 0 {
		t.Error("without coordination no target is overloaded: the test proves nothing")
	}
}

type overloadCount struct{ asked, refused, overloaded int }

func countOverloads(t *testing.T, vms, targets, slots, perSecond int, coordinated bool) (count overloadCount) {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 5))
	all := placers(vms, targets, func(r *instance.Registration) { r.Slots = slots })
	byID := map[string]*Placer{}
	for _, p := range all {
		byID[p.Self] = p
	}
	running := map[string]int{}
	type run struct {
		assignment *Assignment
		end        time.Time
	}
	var runs []run
	const seconds, parts = 8, 400
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		left := runs[:0]
		for _, r := range runs {
			if r.end.After(now) {
				left = append(left, r)
				continue
			}
			r.assignment.Done(Success, r.end)
			running[r.assignment.Target.ID]--
		}
		runs = left
		r := Request{
			Service: "llm", Sticky: true, Now: now, Deadline: now.Add(time.Minute), Memory: 1_000_000,
			Demand: Demand{Prompt: 500, Output: 100, Parts: []Part{{fmt.Sprintf("p%d", random.IntN(parts)), 400}, {fmt.Sprintf("own%d", i), 100}}},
		}
		entry := all[random.IntN(vms)]
		count.asked++
		assignment := pick(entry, byID, r, coordinated)
		if assignment == nil {
			count.refused++
			continue
		}
		assignment.Answered(now.Add(80 * time.Millisecond))
		running[assignment.Target.ID]++
		if running[assignment.Target.ID] > int(coordinatedSlack*float64(slots)) {
			count.overloaded++
		}
		runs = append(runs, run{assignment: assignment, end: now.Add(time.Second + time.Duration(random.IntN(2000))*time.Millisecond)})
	}
	return count
}

// pick asks the coordinators of a request's candidates, or selects at the entry
// VM alone.
func pick(entry *Placer, byID map[string]*Placer, r Request, coordinated bool) *Assignment {
	if !coordinated {
		assignment, _, _ := entry.Pick(r)
		return assignment
	}
	r.Coordinated = true
	for _, c := range entry.Candidates(r, 3) {
		r.Preferred = c.Target
		if assignment, _, _ := byID[c.VM].Pick(r); assignment != nil {
			return assignment
		}
	}
	return nil
}

// A region has about as many VMs as targets, and nearly all slots are taken. A request
// that asks three coordinators must still find a free one.
func TestCoordinatorsOfManyVMs(t *testing.T) {
	const vms, targets, slots, perSecond = 98, 102, 12, 590 // runs of 2 s: 1180 of 1224 slots
	count := countOverloads(t, vms, targets, slots, perSecond, true)
	t.Logf("%d of %d refused", count.refused, count.asked)
	if count.overloaded > 0 {
		t.Errorf("%d requests were sent to a target above its bound", count.overloaded)
	}
	if count.refused*100 > count.asked {
		t.Errorf("%d of %d requests refused, though targets have free slots", count.refused, count.asked)
	}
}

// All VMs of a region agree on a target's coordinator, and another VM takes
// over when that one leaves.
func TestVMsAgreeOnCoordinators(t *testing.T) {
	all := placers(5, 40, nil)
	coordinators := func(ps []*Placer) map[string]bool {
		seen := map[string]bool{}
		for id := range ps[0].targets {
			for _, p := range ps[1:] {
				if p.targets[id].coordinator != ps[0].targets[id].coordinator {
					t.Fatalf("target %s: VMs don't agree", id)
				}
			}
			seen[ps[0].targets[id].coordinator] = true
		}
		return seen
	}
	if seen := coordinators(all); len(seen) != 5 {
		t.Errorf("%d of 5 VMs coordinate targets", len(seen))
	}
	ready := []string{"vm3", "vm0", "vm1", "vm2"} // in any order
	for _, p := range all[:4] {
		p.SetVMs(ready, ready)
	}
	if seen := coordinators(all[:4]); seen["vm4"] || len(seen) != 4 {
		t.Errorf("coordinators after vm4 has gone: %v", seen)
	}
}

// Candidates of a request have different coordinators and are the same at all
// VMs.
func TestCandidatesDiffer(t *testing.T) {
	all := placers(4, 40, nil)
	r := Request{Service: "llm", Sticky: true, Now: start, Demand: Demand{Prompt: 10, Parts: []Part{{"a", 5}, {"b", 5}}}}
	first := all[0].Candidates(r, 3)
	if len(first) != 3 {
		t.Fatalf("%d candidates, want 3", len(first))
	}
	seen := map[string]bool{}
	for i, c := range first {
		if seen[c.VM] {
			t.Errorf("VM %s is asked twice", c.VM)
		}
		seen[c.VM] = true
		if other := all[3].Candidates(r, 3)[i]; other != c {
			t.Errorf("candidate %d is %v here and %v there", i, c, other)
		}
	}
}

// The progress of an answer that another VM forwards is estimated from the
// target's average gap between events.
func TestProgressOfReportedAnswers(t *testing.T) {
	p := placers(1, 1, nil)[0]
	assignment, _, _ := p.Pick(Request{Service: "llm", EventTokens: 1, Now: start, Deadline: start.Add(time.Minute), Demand: Demand{Expected: 100}})
	assignment.Begun(start.Add(time.Second))
	assignment.RecordGap(200, 50*time.Millisecond, start.Add(time.Second))
	if got := assignment.progress(start.Add(2 * time.Second)); got < 218 || got > 222 {
		t.Errorf("%d events a second after 200 were reported, at 50ms each, want about 220", got)
	}
}

// Targets of an engine are coordinated, and those with few slots per VM of the
// region.
func TestWhatIsCoordinated(t *testing.T) {
	tests := []struct {
		name       string
		vms, slots int
		memory     int
		want       bool
	}{
		{"engine", 2, 64, 600_000, true},
		{"plain, many slots", 2, 6, 0, false},
		{"plain, few slots", 27, 6, 0, true},
	}
	for _, test := range tests {
		p := placers(test.vms, 2, func(r *instance.Registration) { r.Slots = test.slots })[0]
		if got := p.NeedsCoordination(Request{Service: "llm", Memory: test.memory, Now: start}); got != test.want {
			t.Errorf("%s: coordinated: %v, want %v", test.name, got, test.want)
		}
	}
}
