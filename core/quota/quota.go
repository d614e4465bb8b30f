// Package quota holds organisations to their rate and burst over all VMs.
//
// Most of a limit lies in a pool at the leader of the control log, from which
// entry VMs draw tokens ahead of their need, so that an organisation may send
// its whole rate through any of them. The rest is split evenly among the entry
// VMs; it serves small requests at once, and all while the leader can't be
// reached. The sum of both is the limit, whoever reaches whom.
//
// A request may overdraw an account that is full for its size, so that one that
// is larger than the burst is served at all.
package quota

import (
	"sync"
	"time"
)

// Limit is an organisation's limit over all VMs.
type Limit struct {
	RatePerSecond float64 // tokens; 0: no limit
	Burst         float64 // tokens
}

func (l Limit) scaled(share float64) Limit {
	return Limit{RatePerSecond: l.RatePerSecond * share, Burst: l.Burst * share}
}

// poolShare is the part of a limit that lies in the pool.
const poolShare = 0.75

// bucket is a token bucket that may be overdrawn.
type bucket struct {
	level float64 // tokens
	at    time.Time
}

func (b *bucket) refill(limit Limit, now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = min(b.level+passed*limit.RatePerSecond, limit.Burst)
		b.at = now
	}
	b.level = min(b.level, limit.Burst)
}

// wait returns how long it takes until a request of a cost fits.
func (b *bucket) wait(limit Limit, cost float64) time.Duration {
	missing := min(cost, limit.Burst) - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / limit.RatePerSecond * float64(time.Second))
}

// Pool has the accounts of the leader. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	term    uint64
	since   time.Time // begin of the term
	buckets map[string]*bucket
}

// NewPool returns a pool without accounts.
func NewPool() *Pool {
	return &Pool{buckets: map[string]*bucket{}}
}

// Lead tells that this VM leads in a term. All accounts are empty at its begin,
// since the leader before may have given out the burst, and fill from then on,
// whether they are drawn from or not.
func (p *Pool) Lead(term uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lead(term, now)
}

func (p *Pool) lead(term uint64, now time.Time) {
	if term == p.term {
		return
	}
	p.term, p.since = term, now
	p.buckets = map[string]*bucket{}
}

// Draw takes what an entry VM needs, and up to what it wants.
func (p *Pool) Draw(term uint64, organisation string, limit Limit, need, want float64, now time.Time) (granted float64, wait time.Duration) {
	limit = limit.scaled(poolShare)
	if limit.RatePerSecond <= 0 {
		return 0, time.Second
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lead(term, now)
	b, found := p.buckets[organisation]
	if !found {
		b = &bucket{at: p.since}
		p.buckets[organisation] = b
	}
	b.refill(limit, now)
	if wait := b.wait(limit, need); wait > 0 {
		return 0, wait
	}
	granted = max(need, min(want, b.level))
	b.level -= granted
	return granted, 0
}

const (
	// demandTime is the time over which an entry VM averages what an
	// organisation asks of it.
	demandTime = 2 * time.Second
	// aheadTime is how much of its demand an entry VM draws ahead. It covers a
	// round trip between regions.
	aheadTime = 400 * time.Millisecond
)

type account struct {
	own     bucket  // this VM's share
	drawn   float64 // tokens drawn from the pool
	demand  float64 // tokens a second
	asked   time.Time
	drawing bool
}

// Book has the accounts of one entry VM. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	vms      int
	accounts map[string]*account
}

// NewBook returns a book without accounts. Until SetVMs is called, nothing
// that has a limit is let in.
func NewBook() *Book {
	return &Book{accounts: map[string]*account{}}
}

// SetVMs tells how many entry VMs share the limits.
func (b *Book) SetVMs(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = count
}

// Order is what is to be drawn from the pool.
type Order struct {
	Need float64 // tokens, for the request that waits; 0: for later ones
	Want float64 // tokens
}

// Take lets a request of a cost in tokens in, if what this VM has is enough.
// Otherwise the order is to be drawn. An order with a want and no need may be
// drawn in the background.
func (b *Book) Take(organisation string, limit Limit, cost float64, now time.Time) (granted bool, order Order) {
	if limit.RatePerSecond <= 0 {
		return true, Order{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.vms == 0 {
		return false, Order{Need: cost, Want: cost}
	}
	a := b.account(organisation, limit, now)
	a.note(cost, now)
	ahead := a.demand * aheadTime.Seconds()
	switch share := b.share(limit); {
	case a.drawn >= cost:
		a.drawn -= cost
		granted = true
	case a.own.level >= cost && cost <= share.Burst:
		a.own.level -= cost
		granted = true
	default:
		return false, Order{Need: max(0, cost-a.drawn), Want: cost - a.drawn + ahead}
	}
	if a.drawn < ahead/2 && !a.drawing {
		a.drawing = true
		return true, Order{Want: ahead - a.drawn}
	}
	return true, Order{}
}

// Drawn adds what came from the pool and lets a waiting request in, if it is
// enough. While the pool can't be reached, a request may overdraw this VM's own
// share: where the pool has refused, each VM would let one more in.
func (b *Book) Drawn(organisation string, limit Limit, cost, tokens float64, reached bool, now time.Time) (granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(organisation, limit, now)
	a.drawn += tokens
	a.drawing = false
	if cost == 0 {
		return false
	}
	if a.drawn >= cost {
		a.drawn -= cost
		return true
	}
	share := b.share(limit)
	if reached || b.vms == 0 || a.own.wait(share, cost) > 0 {
		return false
	}
	a.own.level -= cost
	return true
}

// Return gives back the cost of a request that did not run.
func (b *Book) Return(organisation string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, found := b.accounts[organisation]; found {
		a.drawn += cost
	}
}

func (b *Book) share(limit Limit) Limit {
	return limit.scaled((1 - poolShare) / float64(max(1, b.vms)))
}

func (b *Book) account(organisation string, limit Limit, now time.Time) *account {
	share := b.share(limit)
	a, found := b.accounts[organisation]
	if !found {
		// This VM may have spent its share before it was started again.
		a = &account{own: bucket{at: now}, asked: now}
		b.accounts[organisation] = a
	}
	a.own.refill(share, now)
	return a
}

// note keeps the average of what is asked.
func (a *account) note(cost float64, now time.Time) {
	a.demand = averaged(a.demand, cost, now.Sub(a.asked))
	a.asked = now
}
