package place

import "time"

const (
	// awayExpiry is how long the requests for a part that were sent to its home region
	// are counted after the last one.
	awayExpiry = 30 * time.Second
	// maxAway bounds the parts whose requests are counted.
	maxAway = 1 << 14
)

// awayCounts counts the requests for each shared part that were sent to the part's
// home region, by service and part.
type awayCounts map[string]awayCount

type awayCount struct {
	requests int
	last     time.Time
}

// HomeRegion returns the region in which a request's shared part is read first, and
// whether that is another region than this one. All VMs agree on it. allowed reports
// whether the request may run in a region.
func (p *Placer) HomeRegion(r Request, allowed func(region string) bool) (region string, other bool) {
	if !r.Sticky || len(r.Demand.Parts) < 2 {
		return p.Region, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	own := 0
	for _, t := range p.byService[r.Service] {
		if p.mayPrefer(t, Request{Now: r.Now, Evacuated: r.Evacuated, SameVersion: r.SameVersion, Version: r.Version}) {
			own++
		}
	}
	region, highest := p.Region, weight(r.Demand.shared(), p.Region, own)
	for other, count := range p.remoteTargets(r) {
		if w := weight(r.Demand.shared(), other, count); w > highest && allowed(other) {
			region, highest = other, w
		}
	}
	return region, region != p.Region
}

// leaves reports whether a request goes to another region rather than wait here for the
// predicted time.
func (r Request) leaves(predicted time.Duration) bool {
	return r.LeaveAfter > 0 && predicted > r.LeaveAfter
}

// belongsElsewhere reports whether a request should run in the home region of its
// shared part, since reading the part here takes longer than the way there.
//
// When requests for a long part come from several regions, each region would read it.
// But a part that is used here again and again is better read once: requests are sent
// away until the time they have lost on the way reaches the time to read it.
func (p *Placer) belongsElsewhere(r Request, preferred *Target) bool {
	if !r.MayForward || preferred == nil {
		return false
	}
	reading := p.tokenTime(r.Service) * time.Duration(preferred.missingShared(r.Demand))
	key := r.Service + "\x00" + r.Demand.shared()
	count := p.away[key]
	if r.Now.Sub(count.last) > awayExpiry {
		count.requests = 0
	}
	if reading < r.AwayTime*time.Duration(count.requests+1) {
		return false
	}
	if len(p.away) >= maxAway {
		clear(p.away)
	}
	p.away[key] = awayCount{requests: count.requests + 1, last: r.Now}
	return true
}
