package place

import (
	"math"
	"time"
)

// Visit is a request's stay at a target.
type Visit struct {
	Target *Target

	id        string // id of the target; kept as it may report another address later
	address   string
	placer    *Placer
	service   string
	demand    Demand
	work      int // tokens that the target has to read
	workAhead int // work of the target until the answer begins, tokens
	begun     time.Time
	predicted time.Duration
	answered  bool
	source    string // address of the target from which the shared parts are fetched, empty for none

	expected int       // events of the whole answer
	events   int       // so far
	last     time.Time // last event
	deadline time.Time
	reported bool // another VM forwards the events and reports them at the end
}

// Answered records that the answer has begun. Further calls have no effect.
func (v *Visit) Answered(now time.Time) {
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	if v.answered {
		return
	}
	if v.begun.After(v.Target.newestAnswered) {
		v.Target.newestAnswered = v.begun
	}
	took := now.Sub(v.begun)
	v.Target.observe(v.workAhead, took, v.placer.model(v.service), now)
	v.clearPending()
}

// Event records an event of a stream.
func (v *Visit) Event(now time.Time) {
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	t := v.Target
	v.events++
	if v.events > 1 {
		t.gap += time.Duration(gapWeight * float64(now.Sub(v.last)-t.gap))
	}
	v.last = now
	t.streams[v] = true
}

// clearPending removes the request's work from the target's pending work.
func (v *Visit) clearPending() {
	if !v.answered {
		v.answered = true
		v.Target.pending -= v.work
		delete(v.Target.waiting, v)
	}
}

// Begun records that the answer of a request that another VM forwards has begun.
// That VM reports the events only at the end, through Paced.
func (v *Visit) Begun(now time.Time) {
	v.Answered(now)
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	v.reported, v.last = true, now
	v.Target.streams[v] = true
}

// Paced records the average time between the events of an answer that has ended.
func (v *Visit) Paced(events int, gap time.Duration) {
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	weight := 1 - math.Pow(1-gapWeight, float64(events))
	v.Target.gap += time.Duration(weight * float64(gap-v.Target.gap))
}

// progress returns the number of events of the answer so far. For an answer that
// another VM forwards it is estimated from the target's average gap.
func (v *Visit) progress(now time.Time) int {
	if v.reported && v.Target.gap > 0 {
		return int(now.Sub(v.last) / v.Target.gap)
	}
	return v.events
}

// Result is what the outcome of a request says about its target.
type Result uint8

// Results.
const (
	Unclear Result = iota // nothing
	Good                  // it served the request
	Bad                   // it failed
	Gone                  // another target answered at its address
)

// Done ends the stay.
func (v *Visit) Done(result Result, now time.Time) {
	t := v.Target
	switch result {
	case Good:
		t.Circuit.Succeeded()
	case Bad:
		t.Circuit.Failed()
	default:
		t.Circuit.Released()
	}
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	v.clearPending()
	delete(t.streams, v)
	t.inFlight--
	t.memory -= v.demand.Prompt + v.demand.Output
	switch result {
	case Good:
		t.lastSuccess = now
	case Gone:
		t.displacedUntil = now.Add(displacedFor)
	}
}

// Where returns the target's id and the address it had when it was selected.
func (v *Visit) Where() (id, address string) {
	return v.id, v.address
}

// Source returns the address of the target from which to fetch the memory of the
// shared parts, empty for none.
func (v *Visit) Source() string {
	return v.source
}
