// Package limit enforces each organisation's rate and burst, in tokens, over all
// VMs together. Every VM holds a base share of each limit in a token bucket, the
// account. An account that runs short borrows rate and burst from other VMs for
// a bounded time. The sum of all accounts stays within the limit when loans are
// lost or late, links fail, VMs restart or the VM set changes.
//
// The limits are those of a catalogue.Organisation, and package share computes the
// base shares. Package quota enforces the limits of a plan.Organisation, by a pool
// at the leader of the control log.
package limit

import (
	"sync"
	"time"
)

const (
	// LoanDuration is how long a loan lasts for the borrower.
	LoanDuration = 3 * time.Second
	// LoanDrift is how much longer than LoanDuration the lender counts a loan as
	// lent. It covers clocks that run at different speeds.
	LoanDrift = 300 * time.Millisecond
	// StartupDelay is how long a VM accrues no tokens after its start: VMs that
	// borrowed from it before a restart may still use those loans.
	StartupDelay = LoanDuration + LoanDrift
)

// Amount is a rate and a burst: all or part of an organisation's limit.
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

// Loan is an amount that one VM lends to another until it expires.
type Loan struct {
	Amount
	Level float64 // tokens that move to the borrower at once
	Until time.Time
}

// headroom is how far the level was below the burst at one moment.
type headroom struct {
	sequence uint64
	tokens   float64
}

// maxHeadrooms bounds the memory of an account. When it is reached, a
// reservation older than the oldest headroom gets no refund.
const maxHeadrooms = 1024

// Account is one VM's part of one organisation's limit: a token bucket with a
// queue of waiting requests. It is safe for concurrent use.
type Account struct {
	mu         sync.Mutex
	base       Amount // this VM's part of the limit without loans
	borrowed   []Loan
	lent       []Loan
	withheld   []Loan    // gains of the base that other VMs may still use as loans
	level      float64   // tokens
	updated    time.Time // time up to which the level has accrued
	useRate    float64   // decayed average of admitted tokens a second
	useUpdated time.Time

	sequence  uint64     // numbers reservations and headrooms
	headrooms []headroom // tokens increase with the sequence

	queue []*waiter
	timer *time.Timer
}

// Reservation is the tokens that a request has taken from an account.
type Reservation struct {
	account  *Account
	tokens   float64
	sequence uint64
}

// newAccount returns an account that accrues from a given time on, which may be
// in the future.
func newAccount(base Amount, accrueFrom, now time.Time) *Account {
	a := &Account{base: base, updated: now, useUpdated: now}
	if now.Before(accrueFrom) {
		a.updated = accrueFrom
	}
	a.level = min(base.Burst, base.RatePerSecond*max(0, now.Sub(accrueFrom).Seconds()))
	return a
}

// SetBase changes the account's base: its part of the limit without loans. What the
// base gains is used from growFrom on, which may be in the past.
func (a *Account) SetBase(base Amount, growFrom, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accrue(now)
	if gain := base.minus(a.base); growFrom.After(now) && gain != (Amount{}) {
		a.withheld = append(a.withheld, Loan{Amount: gain, Until: growFrom})
	}
	a.base = base
	a.clampLevel()
	a.grantWaiting(now)
}

// remainingBase returns the base less what is lent or withheld.
func (a *Account) remainingBase() Amount {
	remaining := a.base
	for _, loans := range [][]Loan{a.lent, a.withheld} {
		for _, loan := range loans {
			remaining = remaining.minus(loan.Amount)
		}
	}
	return remaining
}

func (a *Account) capacity() Amount {
	total := a.remainingBase()
	for _, loan := range a.borrowed {
		total = total.plus(loan.Amount)
	}
	return total
}

// accrue adds the tokens up to now. It goes from one loan expiry to the next,
// since each one changes the rate and the burst.
func (a *Account) accrue(now time.Time) {
	for now.After(a.updated) {
		next := a.nextExpiry(now)
		capacity := a.capacity()
		a.level = min(capacity.Burst, a.level+capacity.RatePerSecond*next.Sub(a.updated).Seconds())
		a.updated = next
		a.recordHeadroom()
		a.expire(next)
	}
}

// nextExpiry returns the first expiry of a loan before now, or now.
func (a *Account) nextExpiry(now time.Time) time.Time {
	next := now
	for _, loans := range [][]Loan{a.borrowed, a.lent, a.withheld} {
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
	a.withheld = unexpired(a.withheld, now)
	a.clampLevel()
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

func (a *Account) clampLevel() {
	a.level = min(a.level, a.capacity().Burst)
	a.recordHeadroom()
}

// recordHeadroom appends the current headroom and drops the earlier ones that
// are not below it, so that each one left is the lowest since its moment.
func (a *Account) recordHeadroom() {
	a.sequence++
	current := headroom{sequence: a.sequence, tokens: max(0, a.capacity().Burst-a.level)}
	for len(a.headrooms) > 0 && a.headrooms[len(a.headrooms)-1].tokens >= current.tokens {
		a.headrooms = a.headrooms[:len(a.headrooms)-1]
	}
	a.headrooms = append(a.headrooms, current)
	if len(a.headrooms) > maxHeadrooms {
		a.headrooms = append([]headroom(nil), a.headrooms[maxHeadrooms/2:]...)
	}
}

// lowestHeadroomSince returns the lowest headroom since a reservation. No more
// than this can be refunded: without the reservation, the bucket would have been
// full and dropped the rest.
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

// take reserves tokens if the level is high enough.
func (a *Account) take(tokens float64, now time.Time) (r *Reservation, ok bool) {
	if a.level < tokens {
		return nil, false
	}
	a.level -= tokens
	a.recordUse(tokens, now)
	a.sequence++
	return &Reservation{account: a, tokens: tokens, sequence: a.sequence}, true
}

// useHalfLife is the half-life of the average of admitted tokens.
const useHalfLife = 2 * time.Second

// recordUse updates the average of the admitted tokens, so that an account
// lends only what it doesn't use itself.
func (a *Account) recordUse(tokens float64, now time.Time) {
	a.decayUse(now)
	a.useRate += tokens / useHalfLife.Seconds()
}

func (a *Account) decayUse(now time.Time) {
	elapsed := now.Sub(a.useUpdated)
	if elapsed <= 0 {
		return
	}
	a.useRate *= max(0, 1-elapsed.Seconds()/(2*useHalfLife.Seconds()))
	a.useUpdated = now
}

// Settle replaces the reserved tokens by those used. Unused tokens are refunded
// as far as the bucket would have kept them. Use beyond the reservation lowers
// the level, also below zero.
func (r *Reservation) Settle(used float64) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.accrue(now)
	a.recordHeadroom()
	unused := r.tokens - used
	if unused > 0 {
		unused = min(unused, a.lowestHeadroomSince(r.sequence))
	}
	a.level += unused
	r.tokens = used
	a.recordHeadroom()
	a.grantWaiting(now)
}

// Lend lends another VM up to the wanted amount, out of the part of the base
// that this account doesn't use itself. It returns an empty loan if there is
// none. The lent level leaves this account at once.
func (a *Account) Lend(want Amount, now time.Time) (loan Loan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accrue(now)
	a.decayUse(now)
	if len(a.queue) > 0 || now.Before(a.updated) {
		return Loan{} // requests wait here, or accrual has not begun yet
	}
	remaining := a.remainingBase()
	free := remaining.minus(Amount{RatePerSecond: a.useRate, Burst: a.useRate})
	loan.RatePerSecond = min(want.RatePerSecond, free.RatePerSecond)
	loan.Burst = min(want.Burst, free.Burst)
	loan.Level = min(loan.Burst, max(0, a.level))
	if loan.RatePerSecond <= 0 && loan.Burst <= 0 {
		return Loan{}
	}
	a.level -= loan.Level
	loan.Until = now.Add(LoanDuration + LoanDrift)
	a.lent = append(a.lent, loan)
	a.clampLevel()
	return loan
}

// Borrow adds a loan. It lasts for LoanDuration from the time it was asked for;
// the lender counts from the later time at which it granted it. A loan that
// arrives after its expiry is ignored.
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
	a.recordHeadroom()
	a.grantWaiting(now)
}

// Shortage returns the rate and burst that the waiting requests need beyond what
// the account has.
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
	want.RatePerSecond = max(0, waiting+a.useRate-capacity.RatePerSecond)
	want.Burst = max(largest-capacity.Burst, waiting-a.level)
	return want, want.RatePerSecond > 0 || want.Burst > 0
}
