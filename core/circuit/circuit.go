// Package circuit stops sending to a peer that fails, and lets one request
// through now and then to find out whether it has recovered.
package circuit

import (
	"sync/atomic"
	"time"
)

const (
	failuresToOpen = 3
	shortestOpen   = time.Second
	longestOpen    = 30 * time.Second
)

// Breaker is the circuit state of one peer. The zero value is closed.
type Breaker struct {
	failures  atomic.Int64
	openUntil atomic.Int64 // Unix nanoseconds
	probing   atomic.Bool
}

// Closed tells whether the peer works as far as is known. It changes nothing.
func (b *Breaker) Closed() bool {
	return b.failures.Load() < failuresToOpen
}

// Ready tells whether Allow would let a request through now. It changes nothing.
func (b *Breaker) Ready() bool {
	return b.Closed() || (time.Now().UnixNano() >= b.openUntil.Load() && !b.probing.Load())
}

// Allow tells whether a request may be sent now. While the circuit is open it
// lets a single probe through after each pause.
func (b *Breaker) Allow() bool {
	if b.Closed() {
		return true
	}
	if time.Now().UnixNano() < b.openUntil.Load() {
		return false
	}
	return b.probing.CompareAndSwap(false, true)
}

// Succeeded notes that the peer answered.
func (b *Breaker) Succeeded() {
	b.failures.Store(0)
	b.probing.Store(false)
}

// Failed notes that the peer did not answer.
func (b *Breaker) Failed() {
	failures := b.failures.Add(1)
	if failures >= failuresToOpen {
		pause := min(longestOpen, shortestOpen<<min(failures-failuresToOpen, 8))
		b.openUntil.Store(time.Now().Add(pause).UnixNano())
	}
	b.probing.Store(false)
}

// Released notes that a request ended without telling anything about the peer.
func (b *Breaker) Released() {
	b.probing.Store(false)
}
