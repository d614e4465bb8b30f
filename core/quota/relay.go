package quota

import (
	"sync"
	"time"
)

const (
	// aheadBurst is the part of a burst that a relay draws ahead at most, so that
	// what all relays hold stays below one burst.
	aheadBurst = 0.2
	// relayTime is how much of its demand a relay holds. It covers the election
	// of another leader.
	relayTime = 1200 * time.Millisecond
)

// Relay holds tokens that a control VM has drawn from the pool ahead of what
// the entry VMs of its region need.
//
// The load pattern it answers: many entry VMs and organisations, so that each
// pair sends too seldom for an entry VM to draw ahead by itself, and each
// request would wait for a round trip to the leader's region. All of a region
// together ask often enough. Tokens only pass from the pool to a relay and on,
// so that the sum keeps to the limit; those of a relay that ends are lost.
//
// It is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	accounts map[string]*relayed
}

type relayed struct {
	held     float64 // tokens
	demand   float64 // tokens a second
	asked    time.Time
	refilled bool // a refill is on its way
}

// NewRelay returns a relay without tokens.
func NewRelay() *Relay {
	return &Relay{accounts: map[string]*relayed{}}
}

// Take gives what an entry VM needs and up to what it wants, if it is held. It
// returns what is to be drawn from the pool: a need where the entry VM has to
// wait for it, only a want where the refill can come later.
func (r *Relay) Take(organisation string, limit Limit, need, want float64, now time.Time) (granted float64, order Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(organisation, now)
	a.note(want, now)
	ahead := min(a.demand*relayTime.Seconds(), aheadBurst*limit.Burst)
	if a.held < need || a.held <= 0 {
		return 0, Order{Need: need - a.held, Want: want - a.held + ahead}
	}
	granted = max(need, min(want, a.held))
	a.held -= granted
	if a.held < ahead/2 && !a.refilled {
		a.refilled = true
		order.Want = ahead - a.held
	}
	return granted, order
}

// Drawn adds what came from the pool for an order without a need.
func (r *Relay) Drawn(organisation string, tokens float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(organisation, now)
	a.held += tokens
	a.refilled = false
}

// Pass adds what came from the pool for an entry VM that waits, and gives it
// what it needs.
func (r *Relay) Pass(organisation string, tokens, need, want float64, now time.Time) (granted float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(organisation, now)
	a.held += tokens
	if a.held < need || a.held <= 0 {
		return 0
	}
	granted = max(need, min(want, a.held))
	a.held -= granted
	return granted
}

func (r *Relay) account(organisation string, now time.Time) *relayed {
	a, found := r.accounts[organisation]
	if !found {
		a = &relayed{asked: now}
		r.accounts[organisation] = a
	}
	return a
}

// note keeps the average of what is asked.
func (a *relayed) note(tokens float64, now time.Time) {
	a.demand = averaged(a.demand, tokens, now.Sub(a.asked))
	a.asked = now
}

// averaged returns an average of tokens a second after some more were asked.
func averaged(before, tokens float64, passed time.Duration) float64 {
	kept := max(0, 1-passed.Seconds()/demandTime.Seconds())
	return before*kept + tokens/demandTime.Seconds()
}
