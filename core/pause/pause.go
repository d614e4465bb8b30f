// Package pause spaces out the tries at peers that refuse or don't answer.
package pause

import (
	"cmp"
	"sync"
	"time"
)

// The pauses where none are named. They are a few round trips between regions.
const (
	usualShortest = 150 * time.Millisecond
	usualLongest  = 600 * time.Millisecond
)

// Pauses holds how long each peer is left alone: the shortest time after one
// refusal, twice as long after each further one, up to the longest. The first
// success ends it.
//
// The load pattern it answers: an overload of all regions, in which each try at
// another one holds its request for a round trip and adds to the load there.
// The zero value pauses no peer and has the usual times. It is safe for
// concurrent use.
type Pauses[P comparable] struct {
	Shortest time.Duration // 0 for the usual one
	Longest  time.Duration // 0 for the usual one

	mu    sync.Mutex
	peers map[P]pause
}

type pause struct {
	until time.Time
	last  time.Duration
}

// Paused tells whether a peer is left alone now.
func (p *Pauses[P]) Paused(peer P, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.peers[peer].until)
}

// Refused notes that a peer has refused or not answered. What comes back during
// a pause was asked before it and doesn't prolong it.
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
	shortest, longest := cmp.Or(p.Shortest, usualShortest), cmp.Or(p.Longest, usualLongest)
	next := min(max(shortest, 2*before.last), longest)
	p.peers[peer] = pause{until: now.Add(next), last: next}
}

// Succeeded notes that a peer has served.
func (p *Pauses[P]) Succeeded(peer P) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, peer)
}
