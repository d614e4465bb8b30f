package place

import "time"

// longestPause bounds the time for which a target that has refused a request asks for
// none.
const longestPause = 5 * time.Minute

// Pause records that a target has refused a request of this VM and wants no other one
// from it for a while. Other VMs may send to it.
func (p *Placer) Pause(id string, wait time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, found := p.targets[id]; found {
		t.pausedUntil = now.Add(min(wait, longestPause))
	}
}

// Paused returns the targets of a service that want no requests from this VM now, and, if
// all others of the region can't be used either, the time until the first one does.
func (p *Placer) Paused(service string, now time.Time) (ids []string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	others := false
	for _, t := range p.byService[service] {
		switch left := t.pausedUntil.Sub(now); {
		case left > 0:
			ids = append(ids, t.ID)
			wait = shorter(wait, left)
		case t.usable(now):
			others = true
		}
	}
	if others {
		wait = 0
	}
	return ids, wait
}
