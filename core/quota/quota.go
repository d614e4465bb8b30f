// Package quota holds organisations to their rate and burst over all VMs. Each
// entry VM has an equal share; the sum of the shares is the limit, whether or
// not the VMs reach each other.
//
// A request is let in while the account is above zero and may overdraw it, so
// that a small share still serves a request larger than itself.
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

type account struct {
	limit Limit
	level float64 // tokens
	at    time.Time
}

// Book has the accounts of one VM. It is safe for concurrent use.
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

// Take lets a request of a cost in tokens in, or tells how long to wait.
func (b *Book) Take(organisation string, limit Limit, cost float64, now time.Time) (wait time.Duration, granted bool) {
	if limit.RatePerSecond <= 0 {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.vms == 0 {
		return time.Second, false
	}
	a := b.refill(organisation, limit, now)
	if a.level <= 0 {
		share := limit.RatePerSecond / float64(b.vms)
		return time.Duration((1 - a.level) / share * float64(time.Second)), false
	}
	a.level -= cost
	return 0, true
}

// Return gives back the cost of a request that did not run.
func (b *Book) Return(organisation string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, found := b.accounts[organisation]; found {
		a.level += cost
	}
}

func (b *Book) refill(organisation string, limit Limit, now time.Time) *account {
	share := 1 / float64(b.vms)
	a, found := b.accounts[organisation]
	if !found {
		// A VM that has just started may have spent its burst before.
		a = &account{limit: limit, level: min(limit.RatePerSecond, limit.Burst) * share, at: now}
		b.accounts[organisation] = a
	}
	passed := now.Sub(a.at).Seconds()
	a.at, a.limit = now, limit
	a.level = min(a.level+passed*limit.RatePerSecond*share, limit.Burst*share)
	return a
}
