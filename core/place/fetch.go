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

// sources are the targets from which others can fetch the KV memory of a request's
// shared parts, by version: what one version of the software has computed need not fit
// another.
type sources map[string]*Target

// sources returns for each version a target that is known to have read the shared
// parts, or else the one at which they are read first, if it has that version.
//
// When requests share long parts and the target that has read them is full,
// fetching the memory takes a fraction of the time and cost of reading the parts
// again.
func (p *Placer) sources(r Request, preferred *Target) (found sources) {
	if !r.Fetch || len(r.Demand.Parts) < 2 {
		return nil
	}
	var best *Target
	if home := p.targets[r.Home]; home != nil && home.Region == p.Region && home.usable(r.Now) {
		best = home
	}
	if best == nil {
		best = preferred
	}
	found = sources{}
	complete := map[string]bool{}
	if best != nil {
		found[best.Version] = best
		complete[best.Version] = best.missingShared(r.Demand) == 0
	}
	for _, t := range p.byService[r.Service] {
		if !complete[t.Version] && t.usable(r.Now) && t.missingShared(r.Demand) == 0 {
			found[t.Version], complete[t.Version] = t, true
		}
	}
	return found
}

// fetches reports whether a request fetches the KV memory of its shared parts when it is
// sent to the target.
func (t *Target) fetches(r Request, all sources) bool {
	source := all[t.Version]
	return source != nil && source != t && t.missingShared(r.Demand) >= minFetch
}
