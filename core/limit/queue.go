package limit

import (
	"context"
	"slices"
	"time"

	"kingcuprill/core/fault"
)

// waiter is a request that waits for tokens, first come first served.
type waiter struct {
	tokens  float64
	granted chan *Reservation
}

// maxWaiting is the number of requests of one organisation that may wait on a
// VM.
const maxWaiting = 512

// Reserve takes tokens, or waits for them up to a bound. A refusal carries
// when trying again may help.
func (a *Account) Reserve(ctx context.Context, tokens float64, most time.Duration, short func()) (r *Reservation, retryAfter time.Duration, err error) {
	w, r, err := a.enter(tokens)
	if r != nil || err != nil {
		return r, time.Second, err
	}
	short()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case r = <-w.granted:
		return r, 0, nil
	case <-timer.C:
		err = fault.New(fault.RateLimited, "the organisation is over its rate; the request did not run")
	case <-ctx.Done():
		err = fault.New(fault.RateLimited, "the caller went away while the request waited for its turn")
	}
	if r = a.leave(w); r != nil {
		return r, 0, nil // granted at the last moment
	}
	return nil, a.retryAfter(tokens), err
}

func (a *Account) enter(tokens float64) (w *waiter, r *Reservation, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.accrue(now)
	if len(a.queue) == 0 {
		if r, ok := a.take(tokens, now); ok {
			return nil, r, nil
		}
	}
	if len(a.queue) >= maxWaiting {
		return nil, nil, fault.New(fault.RateLimited, "%d requests of the organisation wait already; the request did not run", len(a.queue))
	}
	w = &waiter{tokens: tokens, granted: make(chan *Reservation, 1)}
	a.queue = append(a.queue, w)
	a.schedule(now)
	return w, nil, nil
}

// leave takes a waiter out of the queue. It returns the reservation if one was
// granted meanwhile.
func (a *Account) leave(w *waiter) *Reservation {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case r := <-w.granted:
		return r
	default:
	}
	a.queue = slices.DeleteFunc(a.queue, func(other *waiter) bool { return other == w })
	a.pump(time.Now())
	return nil
}

// pump grants the head of the queue while the level holds its tokens.
func (a *Account) pump(now time.Time) {
	for len(a.queue) > 0 {
		r, ok := a.take(a.queue[0].tokens, now)
		if !ok {
			break
		}
		a.queue[0].granted <- r
		a.queue = a.queue[1:]
	}
	a.schedule(now)
}

// schedule wakes the queue when its head can be granted.
func (a *Account) schedule(now time.Time) {
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	if len(a.queue) == 0 {
		return
	}
	rate := a.capacity().RatePerSecond
	wait := LoanDuration
	if rate > 0 {
		wait = timeToAccrue(a.queue[0].tokens-a.level, rate, LoanDuration) + time.Millisecond
	}
	if a.updated.After(now) {
		wait += a.updated.Sub(now)
	}
	a.timer = time.AfterFunc(wait, a.wake)
}

// timeToAccrue returns when tokens will have come at a rate, and most if that
// is later. A rate may be as small as the rounding error of a loan.
func timeToAccrue(tokens, rate float64, most time.Duration) time.Duration {
	seconds := min(max(0, tokens)/rate, most.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

func (a *Account) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.accrue(now)
	a.pump(now)
}

func (a *Account) retryAfter(tokens float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	rate := a.base.RatePerSecond
	if rate <= 0 {
		return LoanDuration
	}
	return max(time.Second, timeToAccrue(tokens-a.level, rate, time.Minute))
}
