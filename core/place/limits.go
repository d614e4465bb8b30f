package place

import (
	"time"

	"kingcuprill/core/targetlimit"
)

// ObserveLimit records what an answer of a target says about its limit, whose request
// was sent at a time. It reports whether the limit is another one now.
func (p *Placer) ObserveLimit(id string, n targetlimit.Notice, sent, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.targets[id]
	return found && t.limit.Observe(n, sent, now)
}

// Limited returns the number of targets in the region that name a limit.
func (p *Placer) Limited() (count int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, targets := range p.byService {
		for _, t := range targets {
			if t.limit.Named {
				count++
			}
		}
	}
	return count
}
