package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kingcuprill/core/instance"
)

var start = time.Unix(1_800_000_000, 0)

func region(string) string { return "r" }

func placers(vms, targets int, change func(*instance.Registration)) (all []*Placer) {
	rows := map[string]instance.Registration{}
	for i := range targets {
		row := instance.Registration{ID: fmt.Sprintf("t%d", i), Service: "llm", Slots: 64, State: instance.Ready, DataCentre: "dc", Heard: start}
		if change != nil {
			change(&row)
		}
		rows[row.ID] = row
	}
	ids := []string{}
	for i := range vms {
		ids = append(ids, fmt.Sprintf("vm%d", i))
	}
	for _, id := range ids {
		p := NewPlacer(id, "r")
		p.SetVMs(ids, ids)
		p.SetTargets(rows, region)
		all = append(all, p)
	}
	return all
}

// engine simulates the prefill of a model engine: it reads prompts one after the
// other and keeps the parts it has read.
type engine struct {
	free  time.Time
	parts map[string]bool
	read  int // tokens
	again int // tokens of parts that any engine had read before
}

const tokenTime = 8 * time.Microsecond

func (e *engine) run(d Demand, now time.Time, seen map[string]bool) (first time.Time) {
	work := 0
	for _, p := range d.Parts {
		if e.parts[p.ID] {
			continue
		}
		work += p.Tokens
		if seen[p.ID] {
			e.again += p.Tokens
		}
		e.parts[p.ID], seen[p.ID] = true, true
	}
	e.read += work
	if e.free.Before(now) {
		e.free = now
	}
	e.free = e.free.Add(time.Duration(work) * tokenTime)
	return e.free.Add(60 * time.Millisecond)
}

type pendingAnswer struct {
	at         time.Time
	assignment *Assignment
}

// replay sends requests at a constant rate through several VMs to simulated
// engines.
func replay(t *testing.T, vms, targets, perSecond, shared int, bound time.Duration, seconds int) (inTime, late, refused, again int) {
	t.Helper()
	random := rand.New(rand.NewPCG(7, uint64(perSecond)))
	all := placers(vms, targets, nil)
	engines := map[string]*engine{}
	seen := map[string]bool{}
	pending := []pendingAnswer{}
	now := start
	for i := range perSecond * seconds {
		now = start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		pending = slices.DeleteFunc(pending, func(d pendingAnswer) bool {
			if d.at.After(now) {
				return false
			}
			d.assignment.Answered(d.at)
			d.assignment.Done(Success, d.at)
			return true
		})
		part := fmt.Sprintf("p%d", random.IntN(shared))
		own := 500 + random.IntN(8000)
		r := Request{Service: "llm", Sticky: true, Memory: 600_000, Bound: bound, PreferredBound: 200 * time.Millisecond, Now: now}
		r.Demand = Demand{Prompt: 4000 + own, Output: 300, Parts: []Part{{part, 4000}, {fmt.Sprintf("own%d", i), own}}}
		assignment, _, reason := all[random.IntN(vms)].Pick(r)
		if assignment == nil {
			if reason == NoTargets {
				t.Fatalf("request %d: no target", i)
			}
			refused++
			continue
		}
		e := engines[assignment.Target.ID]
		if e == nil {
			e = &engine{parts: map[string]bool{}}
			engines[assignment.Target.ID] = e
		}
		first := e.run(r.Demand, now, seen)
		pending = append(pending, pendingAnswer{at: first, assignment: assignment})
		if first.Sub(now) <= time.Second {
			inTime++
		} else {
			late++
		}
	}
	for _, e := range engines {
		again += e.again
	}
	return inTime, late, refused, again
}

// At twice the load that the targets can read, the backlog grows without a bound
// until all requests are late. With a bound, admitted requests are in time.
func TestPeakBeyondCapacity(t *testing.T) {
	const perSecond, seconds = 220, 12 // 4 targets read some 110 such prompts a second
	inTime, late, refused, _ := replay(t, 2, 4, perSecond, 40, 950*time.Millisecond, seconds)
	openInTime, openLate, _, _ := replay(t, 2, 4, perSecond, 40, 0, seconds)
	t.Logf("bound: %d in time, %d late, %d refused; no bound: %d in time, %d late", inTime, late, refused, openInTime, openLate)
	if late*5 > inTime {
		t.Errorf("%d of the admitted requests are late, %d in time: more than a fifth", late, inTime)
	}
	if inTime < 2*openInTime {
		t.Errorf("%d in time with a bound, %d without: less than twice", inTime, openInTime)
	}
}

// At low load no request may be refused or late.
func TestLowLoadRefusesNothing(t *testing.T) {
	_, late, refused, _ := replay(t, 3, 4, 40, 40, 950*time.Millisecond, 12)
	if refused > 0 || late > 0 {
		t.Errorf("%d refused and %d late at low load", refused, late)
	}
}

// Prompts share long first parts, and three VMs exchange no messages. Each part
// is read about once.
func TestSharedPartsAreReadOnce(t *testing.T) {
	const parts = 60
	_, _, _, again := replay(t, 3, 4, 40, parts, 0, 20)
	if most := parts * 4000 / 2; again > most {
		t.Errorf("%d tokens of shared parts were read again, more than %d", again, most)
	}
}

// After a restart targets are cold. The requests of all VMs to a cold target stay
// within the rate it can take, in any second.
func TestColdTargetRateOverAllVMs(t *testing.T) {
	const rate, allowed = 3.3, 3.3*1.5 + 3
	for _, vms := range []int{1, 2, 3, 7, 25} {
		all := placers(vms, 1, func(r *instance.Registration) { r.ColdUntil = start.Add(time.Minute) })
		sent := []time.Time{}
		for step := range 4000 {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			r := Request{Service: "llm", ColdRate: rate, Now: now}
			if assignment, _, _ := all[step%vms].Pick(r); assignment != nil {
				sent = append(sent, now)
				assignment.Answered(now)
				assignment.Done(Success, now)
			}
		}
		for i, at := range sent {
			count := 0
			for _, other := range sent[i:] {
				if other.Sub(at) < time.Second {
					count++
				}
			}
			if float64(count) > allowed {
				t.Fatalf("%d VMs: %d requests in a second, %v are allowed", vms, count, allowed)
			}
		}
		if len(sent) == 0 {
			t.Fatalf("%d VMs: a cold target got nothing in 20 s", vms)
		}
	}
}

// A target stops answering with requests in flight. New requests go to the other
// target before they are late.
func TestStalledTargetIsLeft(t *testing.T) {
	p := placers(1, 2, nil)[0]
	stalled := ""
	now := start
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		assignment, _, _ := p.Pick(Request{Service: "llm", Now: now, Demand: Demand{Prompt: 500}})
		if assignment == nil {
			t.Fatalf("request %d found no target", i)
		}
		if stalled == "" {
			stalled = assignment.Target.ID
		}
		if assignment.Target.ID == stalled {
			if i > 100 {
				t.Fatalf("request %d goes to the stalled target", i)
			}
			continue
		}
		assignment.Answered(now.Add(70 * time.Millisecond))
		assignment.Done(Success, now.Add(70*time.Millisecond))
	}
}

func TestWhoMayGetRequests(t *testing.T) {
	tests := []struct {
		name   string
		change func(*instance.Registration)
		wanted bool
	}{
		{"ready", func(*instance.Registration) {}, true},
		{"draining", func(r *instance.Registration) { r.State = instance.Draining }, false},
		{"left", func(r *instance.Registration) { r.State = instance.Left }, false},
		{"silent for a moment", func(r *instance.Registration) { r.State, r.Heard = instance.Silent, start.Add(-5*time.Second) }, true},
		{"silent for long", func(r *instance.Registration) { r.State, r.Heard = instance.Silent, start.Add(-time.Minute) }, false},
		{"past its LeaveBy", func(r *instance.Registration) { r.LeaveBy = start.Add(-time.Second) }, false},
	}
	for _, test := range tests {
		assignment, _, _ := placers(1, 1, test.change)[0].Pick(Request{Service: "llm", Now: start})
		if got := assignment != nil; got != test.wanted {
			t.Errorf("%s: gets requests: %v, want %v", test.name, got, test.wanted)
		}
	}
	evacuated := Request{Service: "llm", Now: start, Evacuated: map[string]bool{"dc": true}}
	if assignment, _, _ := placers(1, 1, nil)[0].Pick(evacuated); assignment != nil {
		t.Error("a target of an evacuated data centre gets requests")
	}
}

// A target at whose address another one answers gets no more requests, even if
// delayed heartbeats say that it is ready.
func TestDisplacedTargetGetsNothing(t *testing.T) {
	for name, displace := range map[string]func(p *Placer, a *Assignment){
		"reported by MarkDisplaced": func(p *Placer, a *Assignment) {
			a.Done(Inconclusive, start)
			p.MarkDisplaced(a.Target.ID, start)
		},
		"reported by Done": func(_ *Placer, a *Assignment) { a.Done(Displaced, start) },
	} {
		p := placers(1, 2, nil)[0]
		first, _, _ := p.Pick(Request{Service: "llm", Now: start})
		displace(p, first)
		for i := range 20 {
			assignment, _, reason := p.Pick(Request{Service: "llm", Now: start.Add(time.Duration(i) * 100 * time.Millisecond)})
			if assignment == nil {
				t.Fatalf("%s: no target: %s", name, reason)
			}
			if assignment.Target.ID == first.Target.ID {
				t.Fatalf("%s: request %d goes to the displaced target", name, i)
			}
			assignment.Done(Success, start)
		}
	}
}

// A plain service's target loses one answer in forty, and the requests that wait
// for them stay in flight for seconds. The others are still served.
func TestLostAnswersDontFillATarget(t *testing.T) {
	const work, timeout = 30 * time.Millisecond, 3 * time.Second
	p := placers(1, 1, func(r *instance.Registration) { r.Slots = 6 })[0]
	type call struct {
		assignment *Assignment
		end        time.Time
		lost       bool
	}
	var calls []call
	refused := 0
	const perSecond, seconds = 120, 10
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		calls = slices.DeleteFunc(calls, func(c call) bool {
			if c.end.After(now) {
				return false
			}
			if !c.lost {
				c.assignment.Answered(c.end)
			}
			c.assignment.Done(Success, c.end)
			return true
		})
		assignment, _, _ := p.Pick(Request{Service: "llm", Coordinated: true, Bound: 400 * time.Millisecond, Now: now, Deadline: now.Add(timeout)})
		if assignment == nil {
			refused++
			continue
		}
		lost := i%40 == 39
		end := now.Add(work)
		if lost {
			end = now.Add(timeout)
		}
		calls = append(calls, call{assignment: assignment, end: end, lost: lost})
	}
	if refused*50 > perSecond*seconds {
		t.Errorf("%d of %d requests are refused", refused, perSecond*seconds)
	}
}

// placersOf returns the placer of the only VM of a region with some targets.
func placersOf(region string, targets int) *Placer {
	p := NewPlacer("vm-"+region, region)
	rows := map[string]instance.Registration{}
	for i := range targets {
		id := fmt.Sprint(region, "-t", i)
		rows[id] = instance.Registration{ID: id, Service: "llm", Slots: 64, State: instance.Ready, DataCentre: region, Heard: start}
	}
	p.SetTargets(rows, func(dataCentre string) string { return dataCentre })
	return p
}
