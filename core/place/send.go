package place

import "time"

// Place is a place at a target, as the VM that gave it knows the target.
type Place struct {
	Target  string // id
	Address string
	Version string // of its software, empty if the VM didn't say
}

// View is what the VM that sends to a target has to go by besides its targets.
type View struct {
	Evacuated map[string]bool // by data centre
	// Confirmed says that a control VM has confirmed this VM's state lately. If not,
	// targets may have come or moved since, but none has come back from leaving.
	Confirmed bool
	// SameVersion says that the request is the rest of a begun stream. What another VM says
	// of a target isn't enough for it.
	SameVersion bool
}

// MaySend reports whether this VM may send a request to a place, whoever gave it: that
// VM may be behind this one, and the target may have answered others meanwhile.
func (p *Placer) MaySend(at Place, by View, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.targets[at.Target]
	mustKnow := by.Confirmed || by.SameVersion
	if !found {
		return !mustKnow
	}
	if !t.usable(now) || now.Before(t.pausedUntil) || by.Evacuated[t.DataCentre] {
		return false
	}
	return !mustKnow || t.isAt(at)
}

// isAt reports whether a place is at the current start of a target, as far as that shows.
func (t *Target) isAt(at Place) bool {
	return t.Address == at.Address && (at.Version == "" || t.Version == at.Version)
}
