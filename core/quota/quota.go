// Package quota enforces each organisation's rate and burst, in tokens, over all
// entry VMs together.
//
// Most of a limit is a token bucket in a pool at the leader of the control log.
// Entry VMs draw tokens from it before they need them, so that an organisation
// may send its whole rate through any of them. The rest of the limit is split
// evenly among the entry VMs as local buckets. These serve small requests without
// a wait, and all requests while the leader can't be reached. Pool and local
// buckets add up to the limit, also when VMs can't reach each other.
//
// A request larger than the burst is served when the bucket is full, and
// overdraws it; otherwise it could never be served.
//
// The limits are those of a plan.Organisation. Package limit enforces those of a
// catalogue.Organisation, by loans between VMs.
package quota

import (
	"sync"
	"time"

	"kingcuprill/core/units"
)

// Limit is an organisation's limit over all VMs.
type Limit struct {
	RatePerSecond float64 // tokens; 0: no limit
	Burst         float64 // tokens
}

func (l Limit) scaled(share float64) Limit {
	return Limit{RatePerSecond: l.RatePerSecond * share, Burst: l.Burst * share}
}

// poolShare is the part of a limit that is in the pool.
const poolShare = 0.75

// bucket is a token bucket that may be overdrawn.
type bucket struct {
	level   float64 // tokens
	updated time.Time
}

func (b *bucket) refill(limit Limit, now time.Time) {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*limit.RatePerSecond, limit.Burst)
		b.updated = now
	}
	b.level = min(b.level, limit.Burst)
}

// timeUntil returns how long it takes until a request of a cost can be served. A
// cost above the burst needs a full bucket.
func (b *bucket) timeUntil(limit Limit, cost float64) time.Duration {
	missing := min(cost, limit.Burst) - b.level
	if missing <= 0 {
		return 0
	}
	return units.Seconds(missing / limit.RatePerSecond)
}

// Pool holds the leader's buckets, one for each organisation. It is safe for
// concurrent use.
type Pool struct {
	mu        sync.Mutex
	term      uint64
	termStart time.Time // when this VM began to lead
	buckets   map[string]*bucket
}

// NewPool returns a pool without buckets.
func NewPool() *Pool {
	return &Pool{buckets: map[string]*bucket{}}
}

// StartTerm tells the pool that this VM leads in a term. All buckets are empty at
// the beginning of a term, since the previous leader may have granted the burst.
// They fill from then on, also before the first draw.
func (p *Pool) StartTerm(term uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setTerm(term, now)
}

func (p *Pool) setTerm(term uint64, now time.Time) {
	if term == p.term {
		return
	}
	p.term, p.termStart = term, now
	p.buckets = map[string]*bucket{}
}

// Draw takes tokens for an entry VM or a relay: at least need and up to want. If
// need is not available, it grants nothing and returns how long to wait for it.
func (p *Pool) Draw(term uint64, organisation string, limit Limit, need, want float64, now time.Time) (granted float64, wait time.Duration) {
	limit = limit.scaled(poolShare)
	if limit.RatePerSecond <= 0 {
		return 0, time.Second
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setTerm(term, now)
	b, found := p.buckets[organisation]
	if !found {
		b = &bucket{updated: p.termStart}
		p.buckets[organisation] = b
	}
	b.refill(limit, now)
	if wait := b.timeUntil(limit, need); wait > 0 {
		return 0, wait
	}
	granted = max(need, min(want, b.level))
	b.level -= granted
	return granted, 0
}

const (
	// demandWindow is the time over which the demand of an organisation is
	// averaged.
	demandWindow = 2 * time.Second
	// prefetchTime is how much of its demand an entry VM draws in advance. It
	// covers a round trip between regions.
	prefetchTime = 400 * time.Millisecond
)

// account is what one entry VM holds of one organisation's limit.
type account struct {
	local       bucket  // this VM's share of the limit
	drawn       float64 // tokens drawn from the pool and not spent
	demand      float64 // tokens a second
	updated     time.Time
	drawPending bool // a draw in the background is under way
	shortage    shortage
}

// Limiter holds the accounts of one entry VM. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	vms      int
	accounts map[string]*account
}

// NewLimiter returns a limiter without accounts. Until SetVMs is called, requests
// with a limit are admitted only with tokens from the pool.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[string]*account{}}
}

// SetVMs sets how many entry VMs share the limits.
func (l *Limiter) SetVMs(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = count
}

// Order is an amount of tokens to draw from the pool.
type Order struct {
	Need float64 // tokens that the waiting request must have; 0: no request waits
	Want float64 // tokens at most

	aside  float64 // tokens held already, which nobody else may use until the draw has ended
	refill bool    // Want includes a relay's refill
}

// Take admits a request of a cost in tokens if this VM has enough of them. If it
// does not, the caller draws the order and passes the result to AddDrawn. An order
// that comes with a granted request prefetches tokens for later ones and may be
// drawn in the background; it is zero if there is nothing to draw.
func (l *Limiter) Take(organisation string, limit Limit, cost float64, now time.Time) (granted bool, order Order) {
	if limit.RatePerSecond <= 0 {
		return true, Order{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.vms == 0 {
		return false, Order{Need: cost, Want: cost}
	}
	a := l.account(organisation, limit, now)
	a.recordDemand(cost, now)
	prefetch := a.demand * prefetchTime.Seconds()
	switch share := l.share(limit); {
	case a.drawn >= cost:
		a.drawn -= cost
		granted = true
	case a.local.level >= cost && cost <= share.Burst:
		a.local.level -= cost
		granted = true
	default:
		order = Order{Need: cost - a.drawn, Want: cost - a.drawn + prefetch, aside: a.drawn}
		a.drawn = 0
		return false, order
	}
	if a.drawn < prefetch/2 && !a.drawPending && !now.Before(a.shortage.expires) {
		a.drawPending = true
		return true, Order{Want: prefetch - a.drawn}
	}
	return true, Order{}
}

// AddDrawn adds the tokens that the pool granted for an order, and admits a waiting
// request of a cost if they are enough; the cost is 0 if no request waits. A request may
// overdraw this VM's local bucket only if the pool could not be reached. If that
// were allowed after a refusal by the pool, each VM would admit one request more
// than the limit.
func (l *Limiter) AddDrawn(organisation string, limit Limit, order Order, cost, tokens float64, reached bool, now time.Time) (granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(organisation, limit, now)
	a.drawn += order.aside + tokens
	if tokens > 0 {
		a.shortage = a.shortage.afterGrant(now)
	}
	if order.Need == 0 {
		a.drawPending = false
	}
	if cost == 0 {
		return false
	}
	if a.drawn >= cost {
		a.drawn -= cost
		return true
	}
	share := l.share(limit)
	if reached || l.vms == 0 || a.local.timeUntil(share, cost) > 0 {
		return false
	}
	a.local.level -= cost
	return true
}

// Refund refunds the cost of a request that did not run.
func (l *Limiter) Refund(organisation string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, found := l.accounts[organisation]; found {
		a.drawn += cost
	}
}

func (l *Limiter) share(limit Limit) Limit {
	return limit.scaled((1 - poolShare) / float64(max(1, l.vms)))
}

func (l *Limiter) account(organisation string, limit Limit, now time.Time) *account {
	share := l.share(limit)
	a, found := l.accounts[organisation]
	if !found {
		// The bucket starts empty: this VM may have spent its share before a restart.
		a = &account{local: bucket{updated: now}, updated: now}
		l.accounts[organisation] = a
	}
	a.local.refill(share, now)
	return a
}

// recordDemand updates the average demand after a request.
func (a *account) recordDemand(cost float64, now time.Time) {
	a.demand = updatedAverage(a.demand, cost, now.Sub(a.updated))
	a.updated = now
}
