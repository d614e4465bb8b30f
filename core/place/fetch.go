package place

// minFetch is the number of prompt tokens from which it is worth while to fetch
// their memory from another target.
const minFetch = 128

// missing returns the tokens of the shared parts of a prompt that a target has
// not read as far as this VM knows.
func (t *Target) missing(d Demand) int {
	total, found := 0, true
	for _, p := range d.Parts[:max(0, len(d.Parts)-1)] {
		if _, has := t.parts[p.ID]; !has {
			found = false
		}
		if !found {
			total += p.Tokens
		}
	}
	return total
}

// source returns the target from which others can fetch the memory of a
// request's shared parts: one that is known to have read them, else the one at
// which they are read first.
//
// The load pattern it answers: requests share long parts, and the target that
// has read them is full. To fetch them takes a fraction of the time and of the
// cost of reading them again.
func (p *Placer) source(r Request, preferred *Target) (best *Target) {
	if !r.Fetch || len(r.Demand.Parts) < 2 {
		return nil
	}
	if home := p.targets[r.Home]; home != nil && home.Region == p.Region && home.usable(r.Now) {
		best = home
	}
	if best == nil {
		best = preferred
	}
	if best != nil && best.missing(r.Demand) == 0 {
		return best
	}
	for _, t := range p.byName[r.Service] {
		if t.usable(r.Now) && t.missing(r.Demand) == 0 {
			return t
		}
	}
	return best
}

// fetches tells whether a request fetches the memory of its shared parts to a
// target.
func (t *Target) fetches(r Request, source *Target) bool {
	return source != nil && source != t && t.missing(r.Demand) >= minFetch
}
