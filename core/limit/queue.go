package limit

import (
	"context"
	"slices"
	"time"

	"kingcuprill/core/fault"
)

// waiter is a request that waits for tokens. Waiters are served in the order of
// their arrival.
type waiter struct {
	tokens  float64
	granted chan *Reservation
}

// maxWaiting is the number of requests of one organisation that may wait on a
// VM.
const maxWaiting = 512

// Reserve takes tokens, or waits for them up to maxWait. It calls onShortage once
// when it begins to wait. An error is fault.RateLimited and comes with the time
// after which a retry may succeed.
func (a *Account) Reserve(ctx context.Context, tokens float64, maxWait time.Duration, onShortage func()) (r *Reservation, retryAfter time.Duration, err error) {
	w, r, err := a.takeOrEnqueue(tokens)
	if r != nil || err != nil {
		return r, time.Second, err
	}
	onShortage()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case r = <-w.granted:
		return r, 0, nil
	case <-timer.C:
		err = fault.New(fault.RateLimited, "the organisation is over its rate; the request did not run")
	case <-ctx.Done():
		err = fault.New(fault.RateLimited, "the caller left while the request waited for tokens of its organisation; the request did not run")
	}
	if r = a.dequeue(w); r != nil {
		return r, 0, nil // granted between the end of the wait and dequeue
	}
	return nil, a.retryAfter(tokens), err
}

func (a *Account) takeOrEnqueue(tokens float64) (w *waiter, r *Reservation, err error) {
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
	a.scheduleWake(now)
	return w, nil, nil
}

// dequeue removes a waiter from the queue. It returns the reservation if one was
// granted meanwhile.
func (a *Account) dequeue(w *waiter) *Reservation {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case r := <-w.granted:
		return r
	default:
	}
	a.queue = slices.DeleteFunc(a.queue, func(other *waiter) bool { return other == w })
	a.grantWaiting(time.Now())
	return nil
}

// grantWaiting serves the queue in order while the level is high enough for its
// head.
func (a *Account) grantWaiting(now time.Time) {
	for len(a.queue) > 0 {
		r, ok := a.take(a.queue[0].tokens, now)
		if !ok {
			break
		}
		a.queue[0].granted <- r
		a.queue = a.queue[1:]
	}
	a.scheduleWake(now)
}

// scheduleWake sets the timer for the time at which the head of the queue can be
// granted. Without a rate it looks again after LoanDuration.
func (a *Account) scheduleWake(now time.Time) {
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

// timeToAccrue returns how long tokens take to accrue at a rate, at most longest.
// The bound keeps the result in the range of a duration: a rate may be as small
// as the rounding error of a loan.
func timeToAccrue(tokens, rate float64, longest time.Duration) time.Duration {
	seconds := min(max(0, tokens)/rate, longest.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

func (a *Account) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.accrue(now)
	a.grantWaiting(now)
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
