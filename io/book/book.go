// Package book runs calls that may run at most once. The claim of a call is
// committed by a majority before anything is dispatched, its outcome after.
package book

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"kingcuprill/core/board"
	"kingcuprill/core/booking"
	"kingcuprill/core/control"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/residency"
	"kingcuprill/rpc/state"
)

const (
	pollEvery    = 300 * time.Millisecond // while another request runs the same booking
	finishFor    = 2 * time.Minute        // how long an outcome is tried to be committed
	finishPause  = 500 * time.Millisecond
	headerLength = 4 << 10 // bytes of headers that are not stored
)

// Proposer commits commands.
type Proposer interface {
	Propose(ctx context.Context, command *state.Command) (control.Result, error)
}

// Caller runs calls.
type Caller interface {
	Call(ctx context.Context, request exchange.Request) (exchange.Answer, error)
}

// Booker runs bookings.
type Booker struct {
	Board    *board.Board
	Proposer Proposer
	Caller   Caller
	Answers  *Answers
	Commit   time.Duration // bound for one claim
	Log      *slog.Logger
	// Background runs work that outlives its request and that a planned stop
	// waits for.
	Background func(work func(ctx context.Context))
}

// Order is one call under its idempotency key.
type Order struct {
	Organisation   string
	IdempotencyKey string // hashed
	Shown          string // the key as the caller sent it, for errors
	Digest         string
	Request        exchange.Request
}

// Run claims the key, dispatches the call if the claim is the first, and
// replays the stored answer otherwise. The call goes on when ctx ends, since
// its outcome must be recorded; the answer is then lost to this caller only.
func (b *Booker) Run(ctx context.Context, order Order) (answer exchange.Answer, err error) {
	claimID := b.Board.Self + "-" + uuid.NewString()
	for {
		result, err := b.claim(order, claimID)
		if err != nil {
			return answer, b.refuse(order, claimID, err)
		}
		if result.Err != nil {
			return answer, &exchange.Failure{NotRun: true, Final: true, Err: result.Err}
		}
		if result.Fresh {
			return b.dispatch(order, claimID)
		}
		answer, settled, err := b.replay(order, result.Booking)
		if settled {
			return answer, err
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return answer, unknown(order, "the caller went away")
		}
		if time.Now().After(order.Request.Deadline) {
			return answer, unknown(order, "another request with the key still runs")
		}
	}
}

func (b *Booker) claim(order Order, claimID string) (control.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.Commit)
	defer cancel()
	return b.Proposer.Propose(ctx, &state.Command{Kind: &state.Command_Claim{Claim: &state.Claim{
		Organisation: order.Organisation, IdempotencyKey: order.IdempotencyKey, Digest: order.Digest,
		Owner: b.Board.Self, ClaimId: claimID,
	}}})
}

// refuse answers a claim that was not committed in time. Nothing was and will
// be dispatched under it; if it comes through late, it is given up.
func (b *Booker) refuse(order Order, claimID string, err error) error {
	if fault.CodeOf(err) != fault.NoQuorum {
		b.giveUp(order, claimID)
	}
	return &exchange.Failure{NotRun: true, Err: fault.New(fault.NoQuorum,
		"the booking could not be claimed on a majority of the control VMs and did not run (%v)", err)}
}

func (b *Booker) giveUp(order Order, claimID string) {
	b.finish(&state.Finish{
		Organisation: order.Organisation, IdempotencyKey: order.IdempotencyKey, ClaimId: claimID, Outcome: string(booking.NotRun),
	}, 0)
}

// replay answers from a booking that exists. Settled is false while its owner
// may still finish it.
func (b *Booker) replay(order Order, row booking.Booking) (answer exchange.Answer, settled bool, err error) {
	switch row.Outcome {
	case booking.Done:
		if row.Withheld {
			answer, err = b.Answers.Fetch(row)
			return answer, true, err
		}
		return replayed(row, row.ContentType, row.Body), true, nil
	case booking.Unknown:
		return answer, true, unknownRow(order, "its outcome was lost")
	}
	owner, known := b.Board.Members.View.Read().Members[row.Owner]
	if !known || owner.State == membership.Dead {
		return answer, true, unknownRow(order, "VM "+row.Owner+", which ran it, can't be reached")
	}
	return answer, false, nil
}

func replayed(row booking.Booking, contentType string, body []byte) exchange.Answer {
	headers := []exchange.Header{{Name: "Content-Type", Value: contentType}, {Name: "Idempotent-Replayed", Value: "true"}}
	return exchange.Answer{Status: row.Status, Headers: headers, Body: body}
}

func unknownRow(order Order, why string) error {
	return &exchange.Failure{Final: true, Err: fault.New(fault.OutcomeUnknown,
		"the booking with idempotency key %q may have run: %s; it will not run again", order.Shown, why)}
}

func unknown(order Order, why string) error {
	return &exchange.Failure{Final: true, Err: fault.New(fault.OutcomeUnknown,
		"the booking with idempotency key %q may have run: %s; send it again with the same key to learn its outcome", order.Shown, why)}
}

// dispatch runs the call and records what became of it.
func (b *Booker) dispatch(order Order, claimID string) (answer exchange.Answer, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), order.Request.Deadline)
	defer cancel()
	finish := &state.Finish{Organisation: order.Organisation, IdempotencyKey: order.IdempotencyKey, ClaimId: claimID}
	if b.Board.KeyInvalid(order.Request.KeyID) {
		finish.Outcome = string(booking.NotRun)
		b.finish(finish, b.Commit)
		return answer, &exchange.Failure{NotRun: true, Final: true, Err: fault.New(fault.Unauthenticated, "the key was withdrawn before the booking ran")}
	}
	if time.Now().After(order.Request.Deadline) {
		finish.Outcome = string(booking.NotRun)
		b.finish(finish, b.Commit)
		return answer, &exchange.Failure{NotRun: true, Err: fault.New(fault.Deadline, "the deadline passed before the booking was claimed")}
	}
	answer, err = b.Caller.Call(ctx, order.Request)
	switch {
	case err == nil:
		finish.Outcome = string(booking.Done)
		b.keep(order, finish, answer)
	case exchange.NotRun(err):
		finish.Outcome = string(booking.NotRun)
	default:
		finish.Outcome = string(booking.Unknown)
		err = &exchange.Failure{Final: true, Err: fault.New(fault.OutcomeUnknown,
			"the booking with idempotency key %q may have run, its answer was lost (%v); it will not run again", order.Shown, err)}
	}
	b.finish(finish, b.Commit)
	return answer, err
}

// keep puts an answer into its outcome. An answer that is bound to regions
// stays on this VM: the replicas of the control log may be in any region, and
// this VM may not know them all.
func (b *Booker) keep(order Order, finish *state.Finish, answer exchange.Answer) {
	finish.Status, finish.ContentType, finish.Body = stored(answer)
	permitted := residency.Of(b.Board.Catalogue.Read(), order.Organisation, order.Request.Route.Name)
	finish.Withheld = !permitted.Everywhere()
	if finish.Withheld {
		b.Answers.Keep(finish.ClaimId, Kept{ContentType: finish.ContentType, Body: finish.Body, Permitted: permitted})
		finish.ContentType, finish.Body = "", nil
	}
}

// stored returns what is kept of an answer. A body that is too large is
// replaced by a note, so that a replay still tells that the call ran.
func stored(answer exchange.Answer) (status int32, contentType string, body []byte) {
	for _, h := range answer.Headers {
		if h.Name == "Content-Type" {
			contentType = h.Value
		}
	}
	if len(answer.Body) > booking.MaxAnswer || len(contentType) > headerLength {
		return int32(answer.Status), "text/plain; charset=utf-8", []byte("the call ran once; its answer was too large to be stored\n")
	}
	return int32(answer.Status), contentType, answer.Body
}

// finish commits an outcome and waits for it a bounded time. It goes on in the
// background where it takes longer: until then the booking counts as claimed,
// which never lets it run again.
func (b *Booker) finish(outcome *state.Finish, wait time.Duration) {
	command := &state.Command{Kind: &state.Command_Finish{Finish: outcome}}
	done := make(chan struct{})
	b.Background(func(parent context.Context) {
		defer close(done)
		ctx, cancel := context.WithTimeout(parent, finishFor)
		defer cancel()
		for ctx.Err() == nil {
			_, err := b.Proposer.Propose(ctx, command)
			if err == nil {
				return
			}
			b.Log.Warn("the outcome of a booking is not committed yet", "organisation", outcome.GetOrganisation(), "outcome", outcome.GetOutcome(), "error", err)
			time.Sleep(finishPause)
		}
	})
	select {
	case <-done:
	case <-time.After(wait):
	}
}
