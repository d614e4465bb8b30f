package place

import (
	"math"
	"time"
)

// Assignment is a request that was sent to a target, from Pick to Done.
type Assignment struct {
	Target *Target

	id        string // id of the target; kept as it may report another address later
	address   string
	version   string // of the target's software
	placer    *Placer
	service   string
	demand    Demand
	work      int // tokens that the target has to read
	workAhead int // work of the target until the answer begins, tokens
	rank      int
	begun     time.Time
	predicted time.Duration
	reading   time.Duration // predicted, until the target has read the prompt
	answered  bool
	source    string // address of the target from which the shared parts are fetched, empty for none

	expected int       // events of the whole answer
	events   int       // so far
	last     time.Time // last event
	deadline time.Time
	reported bool // another VM forwards the events and reports them at the end
}

// Answered records that the answer has begun. Further calls have no effect.
func (a *Assignment) Answered(now time.Time) {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	if a.answered {
		return
	}
	if a.begun.After(a.Target.newestAnswered[a.rank]) {
		a.Target.newestAnswered[a.rank] = a.begun
	}
	a.placer.recordAnswer(a.Target, a.service, false, now)
	a.placer.observe(a, now.Sub(a.begun), now)
	if tokens, took, measured := a.Target.backlog.Begin(a.rank, a.work, now); measured {
		a.placer.model(a.service).speed.Add(tokens, took)
	}
	a.clearPending()
}

// Event records an event of a stream.
func (a *Assignment) Event(now time.Time) {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	t := a.Target
	a.events++
	if a.events > 1 {
		t.gap += time.Duration(gapWeight * float64(now.Sub(a.last)-t.gap))
	}
	a.last = now
	t.streams[a] = true
}

// clearPending removes the request's work from the target's pending work.
func (a *Assignment) clearPending() {
	if !a.answered {
		a.answered = true
		a.Target.pending -= a.work
		delete(a.Target.waiting, a)
	}
}

// Begun records that the answer of a request that another VM forwards has begun.
// That VM reports the events now and then; they are recorded by RecordGap.
func (a *Assignment) Begun(now time.Time) {
	a.Answered(now)
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	a.reported, a.last = true, now
	a.Target.streams[a] = true
}

// RecordGap records the average time between some events of an answer, of which the
// first one was the last of the events recorded before.
func (a *Assignment) RecordGap(events int, gap time.Duration, now time.Time) {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	a.events, a.last = max(1, a.events)+events-1, now
	weight := 1 - math.Pow(1-gapWeight, float64(events))
	a.Target.gap += time.Duration(weight * float64(gap-a.Target.gap))
}

// progress returns the number of events of the answer so far. For an answer that
// another VM forwards it is estimated from the target's average gap.
func (a *Assignment) progress(now time.Time) int {
	if a.reported && a.Target.gap > 0 {
		return a.events + int(now.Sub(a.last)/a.Target.gap)
	}
	return a.events
}

// Result is what the outcome of a request says about its target. VMs send its
// numbers to each other.
type Result uint8

// Results.
const (
	Inconclusive Result = iota // nothing
	Success                    // it served the request
	Failure                    // it failed
	Displaced                  // another target answered at its address
	Error                      // it answered with an error
	Refused                    // it had no room for the request
)

// Done ends the assignment and takes its load off the target.
func (a *Assignment) Done(result Result, now time.Time) {
	t := a.Target
	switch result {
	case Success, Error:
		t.Circuit.Succeeded()
	case Failure:
		t.Circuit.Failed()
	default:
		t.Circuit.Released()
	}
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	if !a.answered {
		a.Target.backlog.Remove(a.rank, a.work)
		if result == Success || result == Failure || result == Inconclusive {
			a.placer.observeWait(a, now)
		}
	}
	a.clearPending()
	delete(t.streams, a)
	if result == Refused {
		t.brittle.Refused(t.inFlight, now)
	}
	t.inFlight--
	t.memory.remove(a.demand)
	switch result {
	case Success:
		t.lastSuccess = now
	case Failure, Error:
		a.placer.recordAnswer(t, a.service, true, now)
	case Displaced:
		t.displacedUntil = now.Add(displacedFor)
	}
}

// Where returns the target's id and the address it had when it was selected.
func (a *Assignment) Where() (id, address string) {
	return a.id, a.address
}

// Version returns the version of the target's software.
func (a *Assignment) Version() string {
	return a.version
}

// Source returns the address of the target from which to fetch the KV memory of
// the shared parts, empty for none.
func (a *Assignment) Source() string {
	return a.source
}
