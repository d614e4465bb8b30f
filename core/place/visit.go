package place

import "time"

// Visit is a request's stay at a target.
type Visit struct {
	Target *Target

	placer    *Placer
	service   string
	demand    Demand
	work      int // tokens that the target has to read
	ahead     int // work until the answer begins, tokens
	begun     time.Time
	predicted time.Duration
	answered  bool

	expected int // events
	events   int // so far
	last     time.Time
	deadline time.Time
}

// Answered tells that the answer has begun.
func (v *Visit) Answered(now time.Time) {
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	if v.answered {
		return
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

// Done ends the stay. ok tells that the target did its work.
func (v *Visit) Done(ok bool, now time.Time) {
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	v.leave()
	delete(v.Target.streams, v)
	v.Target.inFlight--
	v.Target.memory -= v.demand.Prompt + v.demand.Output
	if ok {
		v.Target.lastOK = now
	}
}
