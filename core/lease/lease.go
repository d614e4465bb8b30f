// Package lease limits how long a VM may act on the state that a control VM last
// confirmed. A VM asks repeatedly and each answer extends the lease. The duration
// counts from the time at which the question was sent, so a slow answer gives
// less time, never more. When the lease has run out, the VM must not act on the
// state until it is confirmed again.
package lease

import (
	"sync/atomic"
	"time"
)

// Clock returns the time since a fixed point. It must never go back, and must
// advance while the VM is suspended.
type Clock func() time.Duration

// Lease is valid for a fixed duration after the newest confirmed question was
// sent. It is safe for concurrent use.
type Lease struct {
	clock    Clock
	duration time.Duration
	until    atomic.Int64 // nanoseconds on the clock
}

// New returns a lease that is not valid yet.
func New(clock Clock, duration time.Duration) *Lease {
	return &Lease{clock: clock, duration: duration}
}

// Now returns the current time. Read it before a question is sent and pass it to
// Confirm with the answer.
func (l *Lease) Now() time.Duration {
	return l.clock()
}

// Confirm extends the lease to its duration after sent, the time at which the
// confirmed question was sent. It never shortens the lease.
func (l *Lease) Confirm(sent time.Duration) {
	until := int64(sent + l.duration)
	for {
		old := l.until.Load()
		if until <= old || l.until.CompareAndSwap(old, until) {
			return
		}
	}
}

// Left returns how long the lease remains valid; it is zero or negative when the
// lease is not valid.
func (l *Lease) Left() time.Duration {
	return time.Duration(l.until.Load()) - l.clock()
}

// Within reports whether the newest confirmed question was sent less than bound ago, and
// the lease is valid. 0 is no bound.
func (l *Lease) Within(bound time.Duration) bool {
	left := l.Left()
	return left > 0 && (bound == 0 || l.duration-left < bound)
}

// Valid reports whether the lease is valid now.
func (l *Lease) Valid() bool {
	return l.Left() > 0
}
