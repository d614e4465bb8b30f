package place

import (
	"math"
	"time"
)

// Visit is a request's stay at a target.
type Visit struct {
	Target *Target

	id        string // of the target, which may report another address later
	address   string
	placer    *Placer
	service   string
	demand    Demand
	work      int // tokens that the target has to read
	ahead     int // work until the answer begins, tokens
	begun     time.Time
	predicted time.Duration
	answered  bool
	source    string // address of the target that has the shared parts, if they are fetched

	expected int // events
	events   int // so far
	last     time.Time
	deadline time.Time
	reported bool // its events are counted by another VM
}

// Answered tells that the answer has begun.
func (v *Visit) Answered(now time.Time) {
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	if v.answered {
		return
	}
	if v.begun.After(v.Target.newest) {
		v.Target.newest = v.begun
	}
	took := now.Sub(v.begun)
	v.Target.observe(v.ahead, took, v.placer.slope(v.service), now)
	v.leave()
}

// Event tells that an event of a stream has come.
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

// leave takes the request's work off the target.
func (v *Visit) leave() {
	if !v.answered {
		v.answered = true
		v.Target.pending -= v.work
		delete(v.Target.waiting, v)
	}
}

// Begun tells that the answer of a request that another VM sends has begun.
// That VM tells of the events only at the end, with Paced.
func (v *Visit) Begun(now time.Time) {
	v.Answered(now)
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	v.reported, v.last = true, now
	v.Target.streams[v] = true
}

// Paced tells the average time between the events of an answer that has ended.
func (v *Visit) Paced(events int, gap time.Duration) {
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	weight := 1 - math.Pow(1-gapWeight, float64(events))
	v.Target.gap += time.Duration(weight * float64(gap-v.Target.gap))
}

// progress returns the events that the answer has had.
func (v *Visit) progress(now time.Time) int {
	if v.reported && v.Target.gap > 0 {
		return int(now.Sub(v.last) / v.Target.gap)
	}
	return v.events
}

// Result tells what the end of a stay says of the target.
type Result uint8

// Results.
const (
	Unclear Result = iota // nothing
	Good                  // it did its work
	Bad                   // it failed
	Gone                  // another one is at its address
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
	v.leave()
	delete(t.streams, v)
	t.inFlight--
	t.memory -= v.demand.Prompt + v.demand.Output
	switch result {
	case Good:
		t.lastOK = now
	case Gone:
		t.goneUntil = now.Add(goneFor)
	}
}

// Where returns the target's id and address.
func (v *Visit) Where() (id, address string) {
	return v.id, v.address
}

// Source returns the address of the target from which the memory of the shared
// parts is to be fetched, empty for none.
func (v *Visit) Source() string {
	return v.source
}
