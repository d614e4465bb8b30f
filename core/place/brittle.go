package place

import (
	"time"

	"kingcuprill/core/brittle"
)

// startShare is the part of its slots that a brittle target may use while its coordinator
// doesn't know yet what others have sent there.
const startShare = 0.5

// hasBrittleCapacity reports whether a brittle target may get one more request. Only its
// coordinator knows all that are there and all that it has refused.
func (p *Placer) hasBrittleCapacity(t *Target, now time.Time) bool {
	if t.coordinator != p.Self {
		return false
	}
	slots := t.slots()
	if now.Sub(t.takenOver) < takeOverTime || now.Sub(p.started) < takeOverTime {
		slots = max(1, int(startShare*float64(slots)))
	}
	return t.inFlight-t.lost(now) < t.brittle.Room(slots, now)
}

// ObserveBrittle records what an answer of a target says about the refusals that it
// survives. It reports whether that is something new.
func (p *Placer) ObserveBrittle(id string, n brittle.Notice, sent time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.targets[id]
	return found && t.brittle.Observe(n, sent)
}

// ObserveBrittle records what the answer says about the refusals that its target
// survives.
func (a *Assignment) ObserveBrittle(n brittle.Notice, _ time.Time) {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	a.Target.brittle.Observe(n, a.begun)
}

// IsBrittle reports whether a target has named the refusals that it survives.
func (p *Placer) IsBrittle(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.targets[id]
	return found && t.brittle.Named
}
