// Package booking deduplicates calls by idempotency key, so that each runs at most
// once. The VM that serves a call claims the key before it dispatches the call, and
// records the outcome afterwards. A repeated call gets the stored outcome.
//
// The ledger is part of the replicated state machine: it is deterministic, and the
// same commands give the same results on every replica.
package booking

import (
	"slices"
	"time"

	"kingcuprill/core/fault"
)

// Outcome is what is known about the run of a call.
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

// MaxAnswer is the size in bytes of the largest answer that is stored whole.
const MaxAnswer = 64 << 10

// Claim is a request for the right to run a call.
type Claim struct {
	Organisation   string
	IdempotencyKey string // hashed, since callers may send any text
	Digest         string // of method, route, path and body
	Owner          string // VM that dispatches the call
	ClaimID        string
	Now            time.Time // by the ledger's clock, see Ledger.Now
}

// Finish is the outcome of a claim, with the answer if the call ran.
type Finish struct {
	Organisation   string
	IdempotencyKey string
	ClaimID        string
	Outcome        Outcome
	Status         int
	ContentType    string
	Body           []byte
	Withheld       bool // the answer must not leave its regions; only the owner keeps it
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
	Withheld       bool     // only the owner keeps the answer
	GivenUp        []string // claims that did not run and are refused if they arrive late, the newest last
	Changed        time.Time
}

// bookingKey identifies a booking.
type bookingKey struct {
	organisation   string
	idempotencyKey string
}

// Ledger holds all bookings and drops each one after its retention. It is not safe
// for concurrent use.
type Ledger struct {
	rows     map[bookingKey]Booking
	expiries []expiry // one for each change, in its order; outdated if the booking has changed since
	now      time.Time
}

type expiry struct {
	key bookingKey
	at  time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{rows: map[bookingKey]Booking{}, now: time.Unix(0, 0)}
}

// Claim grants the right to run to the first claim of a key, and again after an
// outcome of NotRun. Fresh is true only for the claim that may dispatch; others
// get the booking as it is. The error is fault.Conflict if the key was used with
// another digest or if the claim was given up.
func (l *Ledger) Claim(claim Claim) (booking Booking, fresh bool, err error) {
	l.advance(claim.Now)
	key := bookingKey{claim.Organisation, claim.IdempotencyKey}
	old, found := l.rows[key]
	if slices.Contains(old.GivenUp, claim.ClaimID) {
		return Booking{}, false, fault.New(fault.Conflict, "claim %q was given up", claim.ClaimID)
	}
	if found && old.Outcome != NotRun && old.Digest != claim.Digest {
		return Booking{}, false, fault.New(fault.Conflict, "the idempotency key was used with other content")
	}
	if found && old.ClaimID == claim.ClaimID && old.Outcome == Claimed {
		return old, true, nil // the owner sent the claim again and it was committed twice
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

// Finish records the outcome of the claim that owns the key. It changes nothing if
// the outcome is final already, and returns fault.Conflict for another claim. Done
// and NotRun are final; Unknown may still become Done. A claim that is finished as
// NotRun before it arrives is remembered, so that it is refused when it does.
func (l *Ledger) Finish(finish Finish) (booking Booking, err error) {
	l.advance(finish.Now)
	key := bookingKey{finish.Organisation, finish.IdempotencyKey}
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
		old.GivenUp = appendGivenUp(old.GivenUp, finish.ClaimID)
	}
	l.put(key, old)
	return l.rows[key], nil
}

// maxGivenUp is how many claims of one key are remembered as given up; the oldest
// are dropped first.
const maxGivenUp = 32

func appendGivenUp(earlier []string, claimID string) []string {
	all := append(slices.Clone(earlier), claimID)
	return all[max(0, len(all)-maxGivenUp):]
}

// Now returns the ledger's clock. It starts at the Unix epoch and counts the time
// during which the control log had a leader. It is independent of the wall clock,
// so that a VM with a wrong date can't make bookings expire.
func (l *Ledger) Now() time.Time {
	return l.now
}

// advance moves the ledger's clock forward, never back, and drops the bookings
// that are past their retention.
func (l *Ledger) advance(now time.Time) {
	if now.After(l.now) {
		l.now = now
	}
	for len(l.expiries) > 0 && !l.expiries[0].at.After(l.now) {
		head := l.expiries[0]
		l.expiries = l.expiries[1:]
		if row, found := l.rows[head.key]; found && !row.Changed.Add(Retention).After(l.now) {
			delete(l.rows, head.key)
		}
	}
}

func (l *Ledger) put(key bookingKey, booking Booking) {
	booking.Changed = l.now
	l.rows[key] = booking
	l.expiries = append(l.expiries, expiry{key: key, at: l.now.Add(Retention)})
}

// Restore adds a booking from a snapshot. Bookings must be added in the order of
// Rows, oldest change first.
func (l *Ledger) Restore(booking Booking) {
	if booking.Changed.After(l.now) {
		l.now = booking.Changed
	}
	key := bookingKey{booking.Organisation, booking.IdempotencyKey}
	l.rows[key] = booking
	l.expiries = append(l.expiries, expiry{key: key, at: booking.Changed.Add(Retention)})
}

// Rows returns all bookings, oldest change first.
func (l *Ledger) Rows() []Booking {
	rows := make([]Booking, 0, len(l.rows))
	listed := make(map[bookingKey]bool, len(l.rows))
	for _, item := range l.expiries {
		row, found := l.rows[item.key]
		if found && !listed[item.key] && row.Changed.Add(Retention).Equal(item.at) {
			listed[item.key] = true
			rows = append(rows, row)
		}
	}
	return rows
}
