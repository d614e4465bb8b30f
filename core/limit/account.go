// Package limit admits requests within each organisation's rate and burst over
// the whole fleet. Every VM holds a share of each limit in an account, and
// accounts lend each other rate and burst for a bounded time.
package limit

import (
	"sync"
	"time"
)

const (
	// LoanDuration is how long a loan lasts.
	LoanDuration = 3 * time.Second
	// LoanDrift is how much longer the lender waits, for clocks that run at
	// different speeds.
	LoanDrift = 300 * time.Millisecond
	// QuietAfterStart is how long a VM that starts accrues nothing: it may have
	// lent, before it stopped, what its borrowers still use.
	QuietAfterStart = LoanDuration + LoanDrift
)

// Amount is a part of an organisation's limit.
type Amount struct {
	RatePerSecond float64 // tokens
	Burst         float64 // tokens
}

func (a Amount) plus(b Amount) Amount {
	return Amount{RatePerSecond: a.RatePerSecond + b.RatePerSecond, Burst: a.Burst + b.Burst}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{RatePerSecond: max(0, a.RatePerSecond-b.RatePerSecond), Burst: max(0, a.Burst-b.Burst)}
}

// Loan is an amount that moves from one VM to another until it expires.
type Loan struct {
	Amount
	Level float64 // tokens that move at once
	Until time.Time
}

// headroom is how far the level was below the capacity at one moment.
type headroom struct {
	sequence uint64
	tokens   float64
}

// maxHeadrooms bounds the memory of an account. A reservation older than the
// oldest headroom gets no refund.
const maxHeadrooms = 1024

// Account is one VM's part of one organisation's limit: a token bucket.
type Account struct {
	mu       sync.Mutex
	base     Amount
	borrowed []Loan
	lent     []Loan
	level    float64 // tokens
	updated  time.Time
	used     float64 // decayed average of admitted tokens a second
	usedAt   time.Time

	sequence  uint64
	headrooms []headroom // tokens rising with the sequence

	queue []*waiter
	timer *time.Timer
}

// Reservation is what a request has taken from its account.
type Reservation struct {
	account  *Account
	tokens   float64
	sequence uint64
}

// newAccount returns an account that has accrued since a moment.
func newAccount(base Amount, since, now time.Time) *Account {
	a := &Account{base: base, updated: now, usedAt: now}
	if now.Before(since) {
		a.updated = since
	}
	a.level = min(base.Burst, base.RatePerSecond*max(0, now.Sub(since).Seconds()))
	return a
}

// SetBase changes the account's own part of the limit.
func (a *Account) SetBase(base Amount, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accrue(now)
	a.base = base
	a.clip()
	a.pump(now)
}

// own is the base less what is lent.
func (a *Account) own() Amount {
	own := a.base
	for _, loan := range a.lent {
		own = own.minus(loan.Amount)
	}
	return own
}

func (a *Account) capacity() Amount {
	total := a.own()
	for _, loan := range a.borrowed {
		total = total.plus(loan.Amount)
	}
	return total
}

// accrue brings the level up to now, one stretch between expiries of loans at
// a time.
func (a *Account) accrue(now time.Time) {
	for now.After(a.updated) {
		next := a.nextExpiry(now)
		capacity := a.capacity()
		a.level = min(capacity.Burst, a.level+capacity.RatePerSecond*next.Sub(a.updated).Seconds())
		a.updated = next
		a.note()
		a.expire(next)
	}
}

// nextExpiry returns the first expiry of a loan up to now, or now.
func (a *Account) nextExpiry(now time.Time) time.Time {
	next := now
	for _, loans := range [][]Loan{a.borrowed, a.lent} {
		for _, loan := range loans {
			if loan.Until.After(a.updated) && loan.Until.Before(next) {
				next = loan.Until
			}
		}
	}
	return next
}

func (a *Account) expire(now time.Time) {
	a.borrowed = unexpired(a.borrowed, now)
	a.lent = unexpired(a.lent, now)
	a.clip()
}

func unexpired(loans []Loan, now time.Time) []Loan {
	kept := loans[:0]
	for _, loan := range loans {
		if loan.Until.After(now) {
			kept = append(kept, loan)
		}
	}
	return kept
}

func (a *Account) clip() {
	a.level = min(a.level, a.capacity().Burst)
	a.note()
}

// note records the headroom. It keeps only the moments that are the lowest of
// all since.
func (a *Account) note() {
	a.sequence++
	now := headroom{sequence: a.sequence, tokens: max(0, a.capacity().Burst-a.level)}
	for len(a.headrooms) > 0 && a.headrooms[len(a.headrooms)-1].tokens >= now.tokens {
		a.headrooms = a.headrooms[:len(a.headrooms)-1]
	}
	a.headrooms = append(a.headrooms, now)
	if len(a.headrooms) > maxHeadrooms {
		a.headrooms = append([]headroom(nil), a.headrooms[maxHeadrooms/2:]...)
	}
}

// lowestHeadroomSince returns the least headroom since a reservation. More
// than this can't be refunded: the bucket would have run over without it.
func (a *Account) lowestHeadroomSince(sequence uint64) float64 {
	if len(a.headrooms) == maxHeadrooms && a.headrooms[0].sequence > sequence {
		return 0
	}
	for _, h := range a.headrooms {
		if h.sequence > sequence {
			return h.tokens
		}
	}
	return max(0, a.capacity().Burst-a.level)
}

// take removes tokens if the level holds them.
func (a *Account) take(tokens float64, now time.Time) (r *Reservation, ok bool) {
	if a.level < tokens {
		return nil, false
	}
	a.level -= tokens
	a.countUse(tokens, now)
	a.sequence++
	return &Reservation{account: a, tokens: tokens, sequence: a.sequence}, true
}

const useHalfLife = 2 * time.Second

// countUse keeps the average of the admitted tokens, so that an account lends
// only what it doesn't use itself.
func (a *Account) countUse(tokens float64, now time.Time) {
	a.decayUse(now)
	a.used += tokens / useHalfLife.Seconds()
}

func (a *Account) decayUse(now time.Time) {
	elapsed := now.Sub(a.usedAt)
	if elapsed <= 0 {
		return
	}
	a.used *= max(0, 1-elapsed.Seconds()/(2*useHalfLife.Seconds()))
	a.usedAt = now
}

// Settle replaces the reserved tokens by those used. Less than reserved is
// refunded as far as the bucket would have kept it; more becomes a debt.
func (r *Reservation) Settle(used float64) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.accrue(now)
	a.note()
	unused := r.tokens - used
	if unused > 0 {
		unused = min(unused, a.lowestHeadroomSince(r.sequence))
	}
	a.level += unused
	r.tokens = used
	a.note()
	a.pump(now)
}

// Lend gives part of the account's own limit to another VM, as much as it does
// not need itself. The level that moves is gone from this account at once.
func (a *Account) Lend(want Amount, now time.Time) (loan Loan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accrue(now)
	a.decayUse(now)
	if len(a.queue) > 0 || now.Before(a.updated) {
		return Loan{} // short itself, or still quiet after the start
	}
	own := a.own()
	free := own.minus(Amount{RatePerSecond: a.used, Burst: a.used})
	loan.RatePerSecond = min(want.RatePerSecond, free.RatePerSecond)
	loan.Burst = min(want.Burst, free.Burst)
	loan.Level = min(loan.Burst, max(0, a.level))
	if loan.RatePerSecond <= 0 && loan.Burst <= 0 {
		return Loan{}
	}
	a.level -= loan.Level
	loan.Until = now.Add(LoanDuration + LoanDrift)
	a.lent = append(a.lent, loan)
	a.clip()
	return loan
}

// Borrow takes in a loan that was asked for at a moment. The borrower counts
// its time from then, the lender from later.
func (a *Account) Borrow(loan Loan, asked, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accrue(now)
	loan.Until = asked.Add(LoanDuration)
	if !now.Before(loan.Until) {
		return
	}
	a.borrowed = append(a.borrowed, loan)
	a.level = min(a.level+loan.Level, a.capacity().Burst)
	a.note()
	a.pump(now)
}

// Shortage returns the rate and burst that the requests that wait would need
// on top of what the account has.
func (a *Account) Shortage(now time.Time) (want Amount, short bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accrue(now)
	if len(a.queue) == 0 {
		return Amount{}, false
	}
	waiting, largest := 0.0, 0.0
	for _, w := range a.queue {
		waiting += w.tokens
		largest = max(largest, w.tokens)
	}
	capacity := a.capacity()
	want.RatePerSecond = max(0, waiting+a.used-capacity.RatePerSecond)
	want.Burst = max(largest-capacity.Burst, waiting-a.level)
	return want, want.RatePerSecond > 0 || want.Burst > 0
}
