// Package lease bounds how long a VM may act on what it was last told. The
// time counts from when the question was sent, so that an answer that was long
// under way gives less.
package lease

import (
	"sync/atomic"
	"time"
)

// Clock returns the time since some fixed moment. It must go on while the
// machine is suspended.
type Clock func() time.Duration

// Lease is valid for a time after the newest confirmed question.
type Lease struct {
	clock    Clock
	duration time.Duration
	until    atomic.Int64 // nanoseconds on the clock
}

// New returns a lease that is not valid yet.
func New(clock Clock, duration time.Duration) *Lease {
	return &Lease{clock: clock, duration: duration}
}

// Now returns the time to give to Confirm, read before a question is sent.
func (l *Lease) Now() time.Duration {
	return l.clock()
}

// Confirm extends the lease by a question that was sent at a time.
func (l *Lease) Confirm(sent time.Duration) {
	until := int64(sent + l.duration)
	for {
		old := l.until.Load()
		if until <= old || l.until.CompareAndSwap(old, until) {
			return
		}
	}
}

// Left returns how long the lease is still valid; it is negative once it has
// ended.
func (l *Lease) Left() time.Duration {
	return time.Duration(l.until.Load()) - l.clock()
}

// Valid tells whether the lease holds now.
func (l *Lease) Valid() bool {
	return l.Left() > 0
}
