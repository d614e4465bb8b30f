// Package circuit implements a circuit breaker. After three consecutive failures of
// a peer it blocks requests to it, for a time that doubles with each further
// failure from 1 s to 30 s, and then lets single requests through to probe for
// recovery.
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

// Breaker is the circuit breaker of one peer. The zero value is closed, that is,
// it lets all requests through. It is safe for concurrent use.
type Breaker struct {
	failures  atomic.Int64
	openUntil atomic.Int64 // Unix nanoseconds
	probing   atomic.Bool
}

// Closed reports whether the circuit is closed. It changes nothing.
func (b *Breaker) Closed() bool {
	return b.failures.Load() < failuresToOpen
}

// Ready reports whether Allow would let a request through now. It changes nothing.
func (b *Breaker) Ready() bool {
	return b.Closed() || (time.Now().UnixNano() >= b.openUntil.Load() && !b.probing.Load())
}

// Allow reports whether a request may be sent now. While the circuit is open, it
// lets a single probe through after each open period; Succeeded, Failed or Released
// must be called when the probe has ended.
func (b *Breaker) Allow() bool {
	if b.Closed() {
		return true
	}
	if time.Now().UnixNano() < b.openUntil.Load() {
		return false
	}
	return b.probing.CompareAndSwap(false, true)
}

// Succeeded records that the peer answered, and closes the circuit.
func (b *Breaker) Succeeded() {
	b.failures.Store(0)
	b.probing.Store(false)
}

// Failed records that the peer did not answer. Enough failures in a row open the
// circuit. While it is open, failures of requests that were sent before say nothing new.
func (b *Breaker) Failed() {
	if !b.Closed() && time.Now().UnixNano() < b.openUntil.Load() {
		return
	}
	failures := b.failures.Add(1)
	if failures >= failuresToOpen {
		openFor := min(longestOpen, shortestOpen<<min(failures-failuresToOpen, 8))
		b.openUntil.Store(time.Now().Add(openFor).UnixNano())
	}
	b.probing.Store(false)
}

// Released records that a request ended without saying anything about the peer.
func (b *Breaker) Released() {
	b.probing.Store(false)
}
