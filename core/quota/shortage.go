package quota

import (
	"time"

	"kingcuprill/core/units"
)

const (
	// minShortagePause is how long at least the pool isn't asked again after it had too few tokens.
	// The pause doubles with each such answer, as many entry VMs may wait for the same tokens,
	// and halves with each grant.
	minShortagePause = 100 * time.Millisecond
	// maxShortagePause bounds the pause, so that a changed limit and returned tokens are seen soon.
	maxShortagePause = 500 * time.Millisecond
	// repeatWindow is the time after a shortage within which another one doubles the pause.
	repeatWindow = time.Second
	// pausedShare is the share of the refused need from which other needs are paused, too. The
	// pool may well have enough for much smaller ones.
	pausedShare = 0.25
)

// shortage is the pool's last answer that it has too few tokens for an order. The zero value
// is none.
type shortage struct {
	limit     Limit
	need      float64       // tokens
	available time.Time     // when the pool has so many again, if nobody else draws
	pause     time.Duration // for which the pool isn't asked, see pausedShare
	pauseEnd  time.Time
	expires   time.Time // when the answer is forgotten
}

// afterRefusal returns the shortage after another answer without tokens.
func (s shortage) afterRefusal(limit Limit, need float64, wait time.Duration, now time.Time) shortage {
	pause := minShortagePause
	if s.limit == limit && now.Before(s.expires.Add(repeatWindow)) {
		pause = min(max(pause, 2*s.pause), maxShortagePause)
	}
	expires := now.Add(min(max(wait, pause), maxShortagePause))
	return shortage{limit: limit, need: need, available: now.Add(wait), pause: pause, pauseEnd: now.Add(pause), expires: expires}
}

// afterGrant returns the shortage after the pool has granted tokens.
func (s shortage) afterGrant(now time.Time) shortage {
	if now.Before(s.expires) {
		s.expires = now
	}
	s.pause /= 2
	return s
}

// wait returns how long the pool has too few tokens for a need, or 0 if it may be asked.
func (s shortage) wait(limit Limit, need float64, now time.Time) time.Duration {
	if s.limit != limit || !now.Before(s.expires) {
		return 0
	}
	pool := limit.scaled(poolShare)
	missing := min(need, pool.Burst) - min(s.need, pool.Burst)
	until := s.available.Add(units.Seconds(missing / pool.RatePerSecond))
	if need >= pausedShare*s.need && until.Before(s.pauseEnd) {
		until = s.pauseEnd
	}
	return max(0, until.Sub(now))
}

// NoteShortage records that the pool had too few tokens for a need and named a wait.
func (l *Limiter) NoteShortage(organisation string, limit Limit, need float64, wait time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(organisation, limit, now)
	a.shortage = a.shortage.afterRefusal(limit, need, wait, now)
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
