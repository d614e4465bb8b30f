// Package preference decides which of several peers that offer the same are asked, and
// in which order.
package preference

import (
	"slices"
	"sync"
	"time"
)

// Times for which a peer that has failed isn't asked. A late answer costs its request
// the time that another peer needs; a refusal that comes at once costs a call only, and
// its reason may end soon, as with the election of a leader.
const (
	shortestLate    = 500 * time.Millisecond
	longestLate     = 2 * time.Second
	shortestRefused = 250 * time.Millisecond
	longestRefused  = 500 * time.Millisecond
	// probeTime is how long a peer is left to the one request that tries it again.
	probeTime = 350 * time.Millisecond
	// urgentProbeAfter is how long after its backoff a peer waits for a request that
	// isn't urgent. Then an urgent one tries it.
	urgentProbeAfter = 3 * time.Second
)

// Tracker remembers which peers failed last. A control VM that is cut off from the leader
// fails each request until the partition ends, while another one could serve them. A peer
// that has failed isn't asked for a while, and then by one request at a time until it answers.
// The zero value knows of no failure. It is safe for concurrent use.
type Tracker[P comparable] struct {
	mu     sync.Mutex
	failed map[P]failure // peers that have failed since their last answer
}

type failure struct {
	until   time.Time // end of the backoff, or of the time for a probe
	last    time.Duration
	probing bool
}

// Order returns the candidates to ask, in this order, out of all in the order of their
// distance. Where none has failed, these are all. Urgent requests should not lose time at
// a peer that is likely to fail again.
func (t *Tracker[P]) Order(candidates []P, urgent bool, now time.Time) (order []P) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sound := slices.ContainsFunc(candidates, func(peer P) bool {
		_, failed := t.failed[peer]
		return !failed
	})
	probed := false
	for _, peer := range candidates {
		f, failed := t.failed[peer]
		if !failed {
			order = append(order, peer)
			continue
		}
		if now.Before(f.until) || (sound && (probed || (urgent && now.Sub(f.until) < urgentProbeAfter))) {
			continue
		}
		probed = true
		t.failed[peer] = failure{until: now.Add(probeTime), last: f.last, probing: true}
		order = append(order, peer)
	}
	return order
}

// Failed records that a peer has not done what it was asked for: late, or by an error that
// came at once. A failure during the backoff belongs to a request that was sent before,
// and doesn't prolong it.
func (t *Tracker[P]) Failed(peer P, late bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed == nil {
		t.failed = map[P]failure{}
	}
	before := t.failed[peer]
	if now.Before(before.until) && !before.probing {
		return
	}
	shortest, longest := shortestRefused, longestRefused
	if late {
		shortest, longest = shortestLate, longestLate
	}
	next := min(max(shortest, 2*before.last), longest)
	t.failed[peer] = failure{until: now.Add(next), last: next}
}

// Answered records that a peer has done what it was asked for.
func (t *Tracker[P]) Answered(peer P) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failed, peer)
}
