package quota

import (
	"sync"
	"time"
)

const (
	// maxPrefetchShare is the largest part of a burst that a relay draws in
	// advance, so that all relays together hold less than one burst.
	maxPrefetchShare = 0.2
	// relayPrefetchTime is how much of its demand a relay holds. It covers the
	// election of a new leader.
	relayPrefetchTime = 1200 * time.Millisecond
)

// Relay holds tokens that a control VM has drawn from the pool in advance for the
// entry VMs of its region.
//
// It is for many entry VMs and organisations. Then each entry VM sees too few
// requests of an organisation to draw in advance by itself, and each request
// would wait for a round trip to the leader's region. All entry VMs of a region
// together send often enough. Tokens only move from the pool to a relay and from
// there to entry VMs, so that the limit holds; the tokens of a relay that stops
// are lost.
//
// It is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	accounts map[string]*relayAccount
}

// relayAccount is what a relay holds for one organisation.
type relayAccount struct {
	held          float64 // tokens
	demand        float64 // tokens a second
	updated       time.Time
	refillPending bool // a draw from the pool that includes a refill is under way
}

// NewRelay returns a relay without tokens.
func NewRelay() *Relay {
	return &Relay{accounts: map[string]*relayAccount{}}
}

// Take grants an entry VM at least need and up to want tokens if the relay holds
// need. It returns what to draw from the pool. If nothing was granted, the entry
// VM waits for the draw and its result goes to Pass; what the relay holds is set
// aside for it in the order. If tokens were granted, the order is a refill that may
// be drawn later, for AddDrawn, or zero.
//
// Only one order of an organisation at a time includes a refill. Otherwise, when
// many entry VMs send their first requests at once, the first relay would draw a
// refill for each of them and leave nothing in the pool for the others.
func (r *Relay) Take(organisation string, limit Limit, need, want float64, now time.Time) (granted float64, order Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(organisation, now)
	a.recordDemand(want, now)
	prefetch := min(a.demand*relayPrefetchTime.Seconds(), maxPrefetchShare*limit.Burst)
	if a.held < need || a.held <= 0 {
		order = Order{Need: need - a.held, Want: want - a.held, aside: a.held}
		a.held = 0
		a.addRefill(&order, prefetch)
		return 0, order
	}
	granted = max(need, min(want, a.held))
	a.held -= granted
	if a.held < prefetch/2 {
		a.addRefill(&order, prefetch-a.held)
	}
	return granted, order
}

// addRefill adds tokens for later requests to an order, unless another order under
// way has them.
func (a *relayAccount) addRefill(order *Order, tokens float64) {
	if a.refillPending {
		return
	}
	a.refillPending = true
	order.refill = true
	order.Want += tokens
}

// AddDrawn adds the tokens that the pool granted for an order, also if there are
// none.
func (r *Relay) AddDrawn(organisation string, order Order, tokens float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(organisation, order, tokens, now)
}

func (r *Relay) add(organisation string, order Order, tokens float64, now time.Time) (a *relayAccount) {
	a = r.account(organisation, now)
	a.held += order.aside + tokens
	if order.refill {
		a.refillPending = false
	}
	return a
}

// Pass adds the tokens that the pool granted for the order of a waiting entry VM,
// and grants it at least need and up to want, or nothing if need is not available.
func (r *Relay) Pass(organisation string, order Order, tokens, need, want float64, now time.Time) (granted float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.add(organisation, order, tokens, now)
	if a.held < need || a.held <= 0 {
		return 0
	}
	granted = max(need, min(want, a.held))
	a.held -= granted
	return granted
}

func (r *Relay) account(organisation string, now time.Time) *relayAccount {
	a, found := r.accounts[organisation]
	if !found {
		a = &relayAccount{updated: now}
		r.accounts[organisation] = a
	}
	return a
}

// recordDemand updates the average demand after a request.
func (a *relayAccount) recordDemand(tokens float64, now time.Time) {
	a.demand = updatedAverage(a.demand, tokens, now.Sub(a.updated))
	a.updated = now
}

// updatedAverage returns the average demand in tokens a second after another
// request, which came at an interval from the one before.
func updatedAverage(previous, tokens float64, elapsed time.Duration) float64 {
	weight := max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
	return previous*weight + tokens/demandWindow.Seconds()
}
