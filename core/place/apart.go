package place

import "time"

// pickApart selects the target with the fewest requests.
func (p *Placer) pickApart(r Request, preferred *Target, source sources) (assignment *Assignment, predicted time.Duration, reason Reason) {
	var best *Target
	reason = NoTargets
	for _, t := range p.byService[r.Service] {
		if !p.eligible(t, r, preferred) {
			continue
		}
		if p.limitWait(t, r.Now) > 0 || !p.hasCapacity(t, r) || !t.Circuit.Ready() {
			reason = Full
			continue
		}
		if best == nil || t.inFlight < best.inFlight {
			best = t
		}
	}
	if best == nil {
		return nil, 0, reason
	}
	if !best.Circuit.Allow() {
		return nil, 0, Full
	}
	_, predicted = p.cost(best, r, best == preferred, source)
	return p.admit(best, r, best == preferred, source), predicted, ""
}
