package place

import (
	"maps"
	"time"
)

// unheardCold is how long a target counts as cold after the evacuation of its data centre has
// ended, unless a heartbeat says earlier whether it is. After that time without
// heartbeats or successes it isn't used anyway.
const unheardCold = silentGrace

// SetEvacuated sets the evacuated data centres. Targets of one whose evacuation has ended may
// have become cold meanwhile.
func (p *Placer) SetEvacuated(evacuated map[string]bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for dataCentre := range p.evacuated {
		if !evacuated[dataCentre] {
			p.ended[dataCentre] = now
		}
	}
	p.evacuated = maps.Clone(evacuated)
}

// coldUntil returns the time until which a target counts as cold. One whose last heartbeat
// came before the evacuation of its data centre ended can't have said so.
func (p *Placer) coldUntil(t *Target) time.Time {
	ended, found := p.ended[t.DataCentre]
	if !found || t.Heard.After(ended) {
		return t.ColdUntil
	}
	if unheard := ended.Add(unheardCold); unheard.After(t.ColdUntil) {
		return unheard
	}
	return t.ColdUntil
}
