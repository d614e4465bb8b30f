package place

// suits reports whether the version of a target's software is one that the request may have.
// That of a target that has started anew is not known.
func (t *Target) suits(r Request) bool {
	return r.accepts(t.Version) && !(r.SameVersion && t.restarted)
}

// Start returns the start of a target by its registration, if that names a version. It isn't
// known if the target doesn't tell it, or has started anew since.
func (p *Placer) Start(id, version string) (born int64, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.targets[id]
	if !found || t.Version != version || t.Born == 0 || t.restarted {
		return 0, false
	}
	return t.Born, true
}

// MarkRestarted records that another start than that of a registration has answered. It
// holds until a registration of another start comes.
func (p *Placer) MarkRestarted(id string, born int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, found := p.targets[id]; found && t.Born == born {
		t.restarted = true
	}
}
