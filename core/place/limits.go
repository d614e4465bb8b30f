package place

import (
	"time"

	"kingcuprill/core/targetlimit"
)

const (
	// takeOverShare is the part of a target's limit that a new coordinator uses for
	// takeOverTime, in which the one before may not know yet that it has been replaced.
	takeOverShare = 0.5
	takeOverTime  = 5 * time.Second
	// savedForLarge is the part of a limit that must be saved up before requests below
	// the average size use it, savedForLast the part if there is no other target.
	savedForLarge = 1
	savedForLast  = 0.5
	// sizeWeight is the weight of a new request in the average size of requests.
	sizeWeight = 0.02
	// elsewhereWait is the wait that a VM assumes for the targets that it doesn't
	// coordinate, until it reaches their coordinator.
	elsewhereWait = time.Second
	// maxLimits bounds the limits that are sent with one call.
	maxLimits = 32
	// limitExpiry is how long a VM tells others of a limit after the last answer that
	// named it.
	limitExpiry = time.Minute
)

// TargetLimit is a limit that a target has named in its answers.
type TargetLimit struct {
	Target string
	Rate   float64       // requests per second
	Age    time.Duration // of the newest answer that named it
}

// limitWait returns how long the next request to a target has to wait for its limit, 0
// if it may be sent now.
//
// A limit holds for all VMs together. One VM, the target's coordinator, gives out the
// requests; the others send none without it, however much room the target has.
func (p *Placer) limitWait(t *Target, now time.Time) time.Duration {
	if !t.limit.Named {
		return 0
	}
	if t.coordinator != p.Self {
		return elsewhereWait
	}
	t.limit.Share = 1
	if now.Sub(t.takenOver) < takeOverTime {
		t.limit.Share = takeOverShare
	}
	return t.limit.Wait(now)
}

// keepsForLarger reports whether the next request that a target's limit allows should be
// a larger one than this.
//
// Such a target bounds the number of its requests and not their work. While it takes
// the large ones, the targets without a limit have room for many small ones.
//
// saved is the part of the limit that must be saved up for smaller ones.
func (p *Placer) keepsForLarger(t *Target, r Request, saved float64) bool {
	return t.limit.Named && float64(r.Demand.size()) < p.model(r.Service).size && t.limit.Saved(r.Now) < saved
}

// size is a measure of the work that a request causes at any target, in tokens.
func (d Demand) size() int {
	return d.Prompt + d.Expected
}

// ObserveLimit records what an answer of a target says about its limit, whose request
// was sent at a time. It reports whether the limit is another one now.
func (p *Placer) ObserveLimit(id string, n targetlimit.Notice, sent, now time.Time) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.targets[id]
	return found && t.limit.Observe(n, sent, now)
}

// ObserveLimit records what the answer says about the target's limit.
func (a *Assignment) ObserveLimit(n targetlimit.Notice, now time.Time) {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	a.Target.limit.Observe(n, a.begun, now)
}

// KnownLimits returns the limits that this VM knows of the targets of a service that a
// VM coordinates.
func (p *Placer) KnownLimits(service, coordinator string, now time.Time) (limits []TargetLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.byService[service] {
		age := now.Sub(t.limit.Newest())
		if t.coordinator == coordinator && t.limit.Named && age < limitExpiry && len(limits) < maxLimits {
			limits = append(limits, TargetLimit{Target: t.ID, Rate: t.limit.Rate, Age: age})
		}
	}
	return limits
}

// LearnLimits adds limits that another VM knows. Those that no target names are ignored.
func (p *Placer) LearnLimits(limits []TargetLimit, now time.Time) {
	for _, l := range limits {
		if !targetlimit.IsRate(l.Rate) {
			continue
		}
		at := now.Add(-max(0, l.Age))
		p.ObserveLimit(l.Target, targetlimit.Notice{Named: true, Rate: l.Rate}, at, at)
	}
}

// IsLimited reports whether a target names a limit.
func (p *Placer) IsLimited(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.targets[id]
	return found && t.limit.Named
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

// shorter returns the shorter of two times; 0 means unknown.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}
