package quota

import (
	"time"

	"kingcuprill/core/units"
)

const (
	// shortestShortage is how long at least the pool isn't asked again after it had too few
	// tokens. The time doubles with each such answer, as many entry VMs may wait for the same
	// tokens, and halves with each grant.
	shortestShortage = 100 * time.Millisecond
	// longestShortage bounds that time, so that a changed limit and returned tokens are seen
	// soon.
	longestShortage = 500 * time.Millisecond
	// shortageRow is the time after a shortage within which another one doubles the time.
	shortageRow = time.Second
	// pausedPart is the part of the need that the pool didn't have from which other needs are
	// paused, too. Much smaller ones may be there.
	pausedPart = 0.25
)

// shortage is the pool's last answer that it has too few tokens for an order. The zero value
// is none.
type shortage struct {
	limit  Limit
	need   float64       // tokens
	until  time.Time     // when the pool has so many again, if nobody else draws
	pause  time.Duration // for which the pool isn't asked, see pausedPart
	paused time.Time     // end of pause
	ends   time.Time     // when the answer is forgotten
}

// noted returns the shortage after another answer without tokens.
func (s shortage) noted(limit Limit, need float64, wait time.Duration, now time.Time) shortage {
	pause := shortestShortage
	if s.limit == limit && now.Before(s.ends.Add(shortageRow)) {
		pause = min(max(pause, 2*s.pause), longestShortage)
	}
	ends := now.Add(min(max(wait, pause), longestShortage))
	return shortage{limit: limit, need: need, until: now.Add(wait), pause: pause, paused: now.Add(pause), ends: ends}
}

// relieved returns the shortage after the pool has granted tokens.
func (s shortage) relieved(now time.Time) shortage {
	if now.Before(s.ends) {
		s.ends = now
	}
	s.pause /= 2
	return s
}

// wait returns how long the pool has too few tokens for a need, or 0 if it may be asked.
func (s shortage) wait(limit Limit, need float64, now time.Time) time.Duration {
	if s.limit != limit || !now.Before(s.ends) {
		return 0
	}
	pool := limit.scaled(poolShare)
	missing := min(need, pool.Burst) - min(s.need, pool.Burst)
	until := s.until.Add(units.Seconds(missing / pool.RatePerSecond))
	if need >= pausedPart*s.need && until.Before(s.paused) {
		until = s.paused
	}
	return max(0, until.Sub(now))
}

// NoteShortage records that the pool had too few tokens for a need and named a wait.
func (l *Limiter) NoteShortage(organisation string, limit Limit, need float64, wait time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(organisation, limit, now)
	a.shortage = a.shortage.noted(limit, need, wait, now)
}

// Wait returns how long an organisation has too few tokens for a request of a cost, as far as
// this VM and the pool's last answer say; 0 if it must be tried. A request that is refused for
// that counts as demand.
func (l *Limiter) Wait(organisation string, limit Limit, cost float64, now time.Time) time.Duration {
	if limit.RatePerSecond <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vms == 0 {
		return 0 // Take uses no tokens of this VM yet
	}
	a := l.account(organisation, limit, now)
	if a.drawn >= cost || a.local.level >= cost && cost <= l.share(limit).Burst {
		return 0
	}
	wait := a.shortage.wait(limit, cost-a.drawn, now)
	if wait > 0 {
		a.recordDemand(cost, now)
	}
	return wait
}
