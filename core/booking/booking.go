// Package booking keeps the claims of calls that may run at most once. It is
// part of the replicated state: the same commands give the same answers on
// every replica.
package booking

import (
	"slices"
	"time"

	"kingcuprill/core/fault"
)

// Outcome tells what is known of a booking.
type Outcome string

// Outcomes of a booking.
const (
	Claimed Outcome = "claimed" // dispatched or about to be; may have run
	Done    Outcome = "done"    // ran; the answer is stored
	NotRun  Outcome = "not_run" // did not run; may be claimed again
	Unknown Outcome = "unknown" // may have run; never runs again
)

// Retention is how long a booking is kept after its last change.
const Retention = 7 * 24 * time.Hour

// MaxAnswer is the size of the largest answer that is stored whole, in bytes.
const MaxAnswer = 64 << 10

// Claim asks for the right to run a call once.
type Claim struct {
	Organisation   string
	IdempotencyKey string // hashed, as it may be any text of the caller
	Digest         string // of method, route, path and body
	Owner          string // VM
	ClaimID        string
	Now            time.Time
}

// Finish records what became of a claim.
type Finish struct {
	Organisation   string
	IdempotencyKey string
	ClaimID        string
	Outcome        Outcome
	Status         int
	ContentType    string
	Body           []byte
	Withheld       bool // the answer may not leave its regions; the owner keeps it
	Now            time.Time
}

// Booking is the state of one idempotency key of an organisation.
type Booking struct {
	Organisation   string
	IdempotencyKey string
	Digest         string
	Owner          string
	ClaimID        string
	Outcome        Outcome
	Status         int
	ContentType    string
	Body           []byte
	Withheld       bool     // the answer is kept by the owner only
	GivenUp        []string // claims that did not run and must not come late, the newest last
	Changed        time.Time
}

type name struct {
	organisation   string
	idempotencyKey string
}

// Ledger holds all bookings. It is not safe for concurrent use.
type Ledger struct {
	rows  map[name]Booking
	queue []expiry
	now   time.Time
}

type expiry struct {
	name name
	at   time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{rows: map[name]Booking{}, now: time.Unix(0, 0)}
}

// Claim gives the right to run to the first claim of a key. Fresh is true
// only for the claim that may dispatch. The same key with another digest is
// refused with fault.Conflict.
func (l *Ledger) Claim(claim Claim) (booking Booking, fresh bool, err error) {
	l.advance(claim.Now)
	key := name{claim.Organisation, claim.IdempotencyKey}
	old, found := l.rows[key]
	if slices.Contains(old.GivenUp, claim.ClaimID) {
		return Booking{}, false, fault.New(fault.Conflict, "claim %q was given up", claim.ClaimID)
	}
	if found && old.Outcome != NotRun && old.Digest != claim.Digest {
		return Booking{}, false, fault.New(fault.Conflict, "the idempotency key was used with other content")
	}
	if found && old.ClaimID == claim.ClaimID && old.Outcome == Claimed {
		return old, true, nil // the same claim, committed twice by a resend of its owner
	}
	if found && old.Outcome != NotRun {
		return old, false, nil
	}
	booking = Booking{
		Organisation: claim.Organisation, IdempotencyKey: claim.IdempotencyKey, Digest: claim.Digest,
		Owner: claim.Owner, ClaimID: claim.ClaimID, Outcome: Claimed, GivenUp: old.GivenUp,
	}
	l.put(key, booking)
	return l.rows[key], true, nil
}

// Finish records the outcome of the claim that owns the key. A finish of
// another claim, or after the outcome is final, changes nothing. A claim that
// is given up before it has come is remembered, so that it can't come later.
func (l *Ledger) Finish(finish Finish) (booking Booking, err error) {
	l.advance(finish.Now)
	key := name{finish.Organisation, finish.IdempotencyKey}
	old, found := l.rows[key]
	if !found && finish.Outcome == NotRun {
		old = Booking{
			Organisation: finish.Organisation, IdempotencyKey: finish.IdempotencyKey,
			ClaimID: finish.ClaimID, Outcome: Claimed,
		}
		found = true
	}
	if !found || old.ClaimID != finish.ClaimID {
		return Booking{}, fault.New(fault.Conflict, "claim %q does not own its idempotency key", finish.ClaimID)
	}
	if old.Outcome == Done || old.Outcome == NotRun {
		return old, nil
	}
	if old.Outcome == Unknown && finish.Outcome != Done {
		return old, nil
	}
	old.Outcome = finish.Outcome
	old.Status = finish.Status
	old.ContentType = finish.ContentType
	old.Body = finish.Body
	old.Withheld = finish.Withheld
	if finish.Outcome == NotRun {
		old.GivenUp = giveUp(old.GivenUp, finish.ClaimID)
	}
	l.put(key, old)
	return l.rows[key], nil
}

// maxGivenUp is the number of claims of one key that are remembered as given up.
const maxGivenUp = 32

func giveUp(earlier []string, claimID string) []string {
	all := append(slices.Clone(earlier), claimID)
	return all[max(0, len(all)-maxGivenUp):]
}

// Now returns the ledger's clock. It counts the time in which the control log
// had a leader, starts at the Unix epoch and knows no wall clock, so that a VM
// with a wrong date can't make bookings expire.
func (l *Ledger) Now() time.Time {
	return l.now
}

// advance moves the ledger's clock, which never goes back, and drops what is
// past its retention.
func (l *Ledger) advance(now time.Time) {
	if now.After(l.now) {
		l.now = now
	}
	for len(l.queue) > 0 && !l.queue[0].at.After(l.now) {
		head := l.queue[0]
		l.queue = l.queue[1:]
		if row, found := l.rows[head.name]; found && !row.Changed.Add(Retention).After(l.now) {
			delete(l.rows, head.name)
		}
	}
}

func (l *Ledger) put(key name, booking Booking) {
	booking.Changed = l.now
	l.rows[key] = booking
	l.queue = append(l.queue, expiry{name: key, at: l.now.Add(Retention)})
}

// Restore adds a booking from a snapshot. Bookings must come oldest first.
func (l *Ledger) Restore(booking Booking) {
	if booking.Changed.After(l.now) {
		l.now = booking.Changed
	}
	key := name{booking.Organisation, booking.IdempotencyKey}
	l.rows[key] = booking
	l.queue = append(l.queue, expiry{name: key, at: booking.Changed.Add(Retention)})
}

// Rows returns all bookings, oldest change first.
func (l *Ledger) Rows() []Booking {
	rows := make([]Booking, 0, len(l.rows))
	listed := make(map[name]bool, len(l.rows))
	for _, item := range l.queue {
		row, found := l.rows[item.name]
		if found && !listed[item.name] && row.Changed.Add(Retention).Equal(item.at) {
			listed[item.name] = true
			rows = append(rows, row)
		}
	}
	return rows
}
