package place

// minFetch is the smallest number of prompt tokens for which fetching their KV
// memory from another target is cheaper than reading them again.
const minFetch = 128

// missingShared returns the tokens of a prompt's shared parts from the first one
// on that the target has not read as far as this VM knows.
func (t *Target) missingShared(d Demand) int {
	total, found := 0, true
	for _, p := range d.sharedParts() {
		if _, has := t.parts[p.ID]; !has {
			found = false
		}
		if !found {
			total += p.Tokens
		}
	}
	return total
}

// source returns the target from which others can fetch the KV memory of a
// request's shared parts: one that is known to have read them, or else the one
// at which they are read first. It returns nil if there is none.
//
// When requests share long parts and the target that has read them is full,
// fetching the memory takes a fraction of the time and cost of reading the parts
// again.
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
	if best != nil && best.missingShared(r.Demand) == 0 {
		return best
	}
	for _, t := range p.byService[r.Service] {
		if t.usable(r.Now) && t.missingShared(r.Demand) == 0 {
			return t
		}
	}
	return best
}

// fetches reports whether a request fetches the KV memory of its shared parts from
// source when it is sent to the target.
func (t *Target) fetches(r Request, source *Target) bool {
	return source != nil && source != t && t.missingShared(r.Demand) >= minFetch
}
