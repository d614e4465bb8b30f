// Package pause implements exponential backoff for peers that refuse requests or
// don't answer.
package pause

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

// Pauses holds the backoff of each peer: the shortest time after one refusal,
// twice as long after each further one, up to the longest. A success ends it.
//
// When all regions are overloaded, each attempt at another region delays its
// request by a round trip and adds to the load there. The zero value has no peer
// in backoff and uses the default times. It is safe for concurrent use.
type Pauses[P comparable] struct {
	Shortest time.Duration // 0 for 150 ms
	Longest  time.Duration // 0 for 600 ms

	mu    sync.Mutex
	peers map[P]pause
}

type pause struct {
	until time.Time
	last  time.Duration
}

// Paused reports whether a peer is in backoff.
func (p *Pauses[P]) Paused(peer P, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.peers[peer].until)
}

// Refused records that a peer has refused a request or not answered. A refusal
// during the backoff belongs to a request that was sent before it began, and
// doesn't prolong it.
func (p *Pauses[P]) Refused(peer P, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[P]pause{}
	}
	before := p.peers[peer]
	if now.Before(before.until) {
		return
	}
	shortest, longest := cmp.Or(p.Shortest, defaultShortest), cmp.Or(p.Longest, defaultLongest)
	next := min(max(shortest, 2*before.last), longest)
	p.peers[peer] = pause{until: now.Add(next), last: next}
}

// Succeeded records that a peer has served a request, and ends its backoff.
func (p *Pauses[P]) Succeeded(peer P) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, peer)
}
