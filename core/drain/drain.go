// Package drain is the timetable of a planned stop. Admission, the end of requests that
// still run and the end of the listeners all go by it, so that what one of them takes
// another doesn't cut off.
package drain

import (
	"sync/atomic"
	"time"

	"kingcuprill/core/fault"
)

// ErrEnded is the cause for which a planned stop ends the requests that still run.
var ErrEnded = fault.New(fault.Interrupted, "the VM is stopping and can't wait for the request")

const (
	// closeDivisor and maxClose give the time in which a process ends after its last
	// connection is closed.
	closeDivisor = 11
	maxClose     = 700 * time.Millisecond
	// answerDivisor and maxAnswer give the time before the end of the grace period at which
	// the requests that still run are answered. Answers need processor time too, of which
	// a VM in a stop may have little.
	answerDivisor = 7
	maxAnswer     = 1200 * time.Millisecond
	// acceptDivisor gives the part of the grace period in which new connections are still
	// accepted, as callers learn of the stop with a delay.
	acceptDivisor = 4
)

// AcceptFor returns how long an entry VM accepts connections in a planned stop with a
// grace period.
func AcceptFor(grace time.Duration) time.Duration {
	return grace / acceptDivisor
}

// Stop is a planned stop. The zero value is not used.
type Stop struct {
	Begun  time.Time
	Accept time.Duration // in which callers may not know of the stop yet
	Grace  time.Duration // until the process must have ended
}

// AcceptUntil returns when new connections are no longer accepted.
func (s Stop) AcceptUntil() time.Time {
	return s.Begun.Add(min(s.Accept, s.Grace))
}

// AnswerBy returns when the requests that still run get an answer or, if one has begun,
// are broken off.
func (s Stop) AnswerBy() time.Time {
	return s.Begun.Add(s.Grace - min(s.Grace/answerDivisor, maxAnswer))
}

// CloseAt returns when all connections are closed.
func (s Stop) CloseAt() time.Time {
	return s.Begun.Add(s.Grace - min(s.Grace/closeDivisor, maxClose))
}

// Takes reports whether a request that has not run may be run: its deadline lies within
// the stop, or its caller may not know of the stop and can see how far it came if it is
// ended, as it may be repeated or is a stream.
func (s Stop) Takes(now, deadline time.Time, mayEnd bool) bool {
	if !deadline.After(s.AnswerBy()) {
		return true
	}
	return mayEnd && now.Before(s.AcceptUntil())
}

// Clock holds the planned stop of a VM, once it has begun. It is safe for concurrent use,
// and its zero value is ready for use.
type Clock struct {
	stop atomic.Pointer[Stop]
}

// Begin starts a planned stop.
func (c *Clock) Begin(s Stop) {
	c.stop.Store(&s)
}

// Stop returns the planned stop, if one has begun.
func (c *Clock) Stop() (s Stop, begun bool) {
	if found := c.stop.Load(); found != nil {
		return *found, true
	}
	return Stop{}, false
}

// Takes reports whether a request that has not run may be run.
func (c *Clock) Takes(now, deadline time.Time, mayEnd bool) bool {
	s, begun := c.Stop()
	return !begun || s.Takes(now, deadline, mayEnd)
}

// Closed reports whether the connections of the VM have been closed by a planned stop.
func (c *Clock) Closed(now time.Time) bool {
	s, begun := c.Stop()
	return begun && !now.Before(s.CloseAt())
}
