// Package backoff implements exponential backoff for peers that refuse requests or
// don't answer.
package backoff

import (
	"cmp"
	"sync"
	"time"
)

// Default backoff times: a few round trips between regions.
const (
	defaultShortest = 150 * time.Millisecond
	defaultLongest  = 600 * time.Millisecond
)

// Tracker holds the backoff of each peer: the shortest time after one refusal,
// twice as long after each further one, up to the longest. A success ends it.
//
// When all regions are overloaded, each attempt at another region delays its
// request by a round trip and adds to the load there. The zero value has no peer
// in backoff and uses the default times. It is safe for concurrent use.
type Tracker[P comparable] struct {
	Shortest time.Duration // 0 for 150 ms
	Longest  time.Duration // 0 for 600 ms

	mu    sync.Mutex
	peers map[P]state
}

type state struct {
	until time.Time
	last  time.Duration
}

// InBackoff reports whether a peer is in backoff.
func (t *Tracker[P]) InBackoff(peer P, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.peers[peer].until)
}

// Refused records that a peer has refused a request or not answered. A refusal
// during the backoff belongs to a request that was sent before it began, and
// doesn't prolong it.
func (t *Tracker[P]) Refused(peer P, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[P]state{}
	}
	before := t.peers[peer]
	if now.Before(before.until) {
		return
	}
	shortest, longest := cmp.Or(t.Shortest, defaultShortest), cmp.Or(t.Longest, defaultLongest)
	next := min(max(shortest, 2*before.last), longest)
	t.peers[peer] = state{until: now.Add(next), last: next}
}

// Succeeded records that a peer has served a request, and ends its backoff.
func (t *Tracker[P]) Succeeded(peer P) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, peer)
}
