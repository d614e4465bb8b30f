// Package book runs bookings: calls with an idempotency key that may run at most
// once. A majority of the control log's replicas commits the claim of the key
// before the call is dispatched, and its outcome afterwards. A resend with the same
// key gets the stored answer. If it isn't known whether the call ran, it never runs
// again, and the error has the code fault.OutcomeUnknown.
package book

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"kingcuprill/core/booking"
	"kingcuprill/core/control"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/residency"
	"kingcuprill/core/vmstate"
	"kingcuprill/rpc/state"
)

const (
	pollInterval        = 300 * time.Millisecond // between claims while another request runs the same booking
	finishTimeout       = 2 * time.Minute        // for the commit of an outcome, with its retries
	finishRetryDelay    = 500 * time.Millisecond
	maxContentTypeBytes = 4 << 10 // of a stored content type, in bytes
)

// Proposer commits commands to the control log.
type Proposer interface {
	Propose(ctx context.Context, command *state.Command) (control.Result, error)
}

// Caller sends calls to targets.
type Caller interface {
	Call(ctx context.Context, request exchange.Request) (exchange.Answer, error)
}

// Booker runs bookings.
type Booker struct {
	VMState       *vmstate.State
	Proposer      Proposer
	Caller        Caller
	Answers       *Answers
	CommitTimeout time.Duration // bounds one claim, and the wait for its outcome's commit
	Log           *slog.Logger
	// Background runs work that may outlive its request. A planned stop waits for
	// it.
	Background func(work func(ctx context.Context))
}

// Call is a call with its idempotency key.
type Call struct {
	Organisation   string
	IdempotencyKey string // hashed
	DisplayKey     string // the idempotency key as the caller sent it, for error messages
	Digest         string
	Request        exchange.Request
}

// Run claims the key, dispatches the call if the claim is the first, and returns
// the stored answer otherwise. The call goes on after ctx ends, since its outcome
// must be recorded; only this caller then gets no answer. Use exchange.NotRun and
// fault.CodeOf to learn from an error whether the call may have run.
func (b *Booker) Run(ctx context.Context, call Call) (answer exchange.Answer, err error) {
	claimID := b.VMState.Self + "-" + uuid.NewString()
	for {
		result, err := b.claim(call, claimID)
		if err != nil {
			return answer, b.claimFailed(call, claimID, err)
		}
		if result.Err != nil {
			return answer, &exchange.Failure{NotRun: true, Final: true, Err: result.Err}
		}
		if result.Fresh {
			return b.dispatch(call, claimID)
		}
		answer, settled, err := b.replay(call, result.Booking)
		if settled {
			return answer, err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return answer, outcomePending(call, "the caller went away")
		}
		if time.Now().After(call.Request.Deadline) {
			return answer, outcomePending(call, "another request with the key still runs")
		}
	}
}

func (b *Booker) claim(call Call, claimID string) (control.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.CommitTimeout)
	defer cancel()
	return b.Proposer.Propose(ctx, &state.Command{Kind: &state.Command_Claim{Claim: &state.Claim{
		Organisation: call.Organisation, IdempotencyKey: call.IdempotencyKey, Digest: call.Digest,
		Owner: b.VMState.Self, ClaimId: claimID,
	}}})
}

// claimFailed returns the error for a claim that was not committed in time.
// Nothing was dispatched under the claim and nothing will be. Unless the error
// rules out that the claim is committed later, it is given up in the control log.
func (b *Booker) claimFailed(call Call, claimID string, err error) error {
	if fault.CodeOf(err) != fault.NoQuorum {
		b.giveUp(call, claimID)
	}
	return &exchange.Failure{NotRun: true, Err: fault.New(fault.NoQuorum,
		"the booking could not be claimed on a majority of the control VMs and did not run (%v)", err)}
}

func (b *Booker) giveUp(call Call, claimID string) {
	b.finish(&state.Finish{
		Organisation: call.Organisation, IdempotencyKey: call.IdempotencyKey, ClaimId: claimID, Outcome: string(booking.NotRun),
	}, 0)
}

// replay returns the result of a booking that another request has claimed.
// settled is false while the VM that owns the claim may still finish it.
func (b *Booker) replay(call Call, row booking.Booking) (answer exchange.Answer, settled bool, err error) {
	switch row.Outcome {
	case booking.Done:
		if row.Withheld {
			answer, err = b.Answers.Fetch(row)
			return answer, true, err
		}
		return replayedAnswer(row, row.ContentType, row.Body), true, nil
	case booking.Unknown:
		return answer, true, outcomeLost(call, "its outcome was lost")
	}
	owner, known := b.VMState.Members.View.Read().Members[row.Owner]
	if !known || owner.State == membership.Dead {
		return answer, true, outcomeLost(call, "VM "+row.Owner+", which ran it, can't be reached")
	}
	return answer, false, nil
}

func replayedAnswer(row booking.Booking, contentType string, body []byte) exchange.Answer {
	headers := []exchange.Header{{Name: "Content-Type", Value: contentType}, {Name: "Idempotent-Replayed", Value: "true"}}
	return exchange.Answer{Status: row.Status, Headers: headers, Body: body}
}

func outcomeLost(call Call, why string) error {
	return &exchange.Failure{Final: true, Err: fault.New(fault.OutcomeUnknown,
		"the booking with idempotency key %q may have run: %s; it will not run again", call.DisplayKey, why)}
}

func outcomePending(call Call, why string) error {
	return &exchange.Failure{Final: true, Err: fault.New(fault.OutcomeUnknown,
		"the booking with idempotency key %q may have run: %s; send it again with the same key to learn its outcome", call.DisplayKey, why)}
}

// dispatch runs the call and commits its outcome.
func (b *Booker) dispatch(call Call, claimID string) (answer exchange.Answer, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), call.Request.Deadline)
	defer cancel()
	finish := &state.Finish{Organisation: call.Organisation, IdempotencyKey: call.IdempotencyKey, ClaimId: claimID}
	if b.VMState.KeyInvalid(call.Request.KeyID) {
		finish.Outcome = string(booking.NotRun)
		b.finish(finish, b.CommitTimeout)
		return answer, &exchange.Failure{NotRun: true, Final: true, Err: fault.New(fault.Unauthenticated, "the key was withdrawn before the booking ran")}
	}
	if time.Now().After(call.Request.Deadline) {
		finish.Outcome = string(booking.NotRun)
		b.finish(finish, b.CommitTimeout)
		return answer, &exchange.Failure{NotRun: true, Err: fault.New(fault.Deadline, "the deadline passed before the booking was claimed")}
	}
	answer, err = b.Caller.Call(ctx, call.Request)
	switch {
	case err == nil:
		finish.Outcome = string(booking.Done)
		b.setAnswer(call, finish, answer)
	case exchange.NotRun(err):
		finish.Outcome = string(booking.NotRun)
	default:
		finish.Outcome = string(booking.Unknown)
		err = &exchange.Failure{Final: true, Err: fault.New(fault.OutcomeUnknown,
			"the booking with idempotency key %q may have run, its answer was lost (%v); it will not run again", call.DisplayKey, err)}
	}
	b.finish(finish, b.CommitTimeout)
	return answer, err
}

// setAnswer adds the answer to an outcome. An answer that residency rules bind to
// regions stays in this VM's memory instead: the replicas of the control log may be
// in any region, and this VM may not know them all.
func (b *Booker) setAnswer(call Call, finish *state.Finish, answer exchange.Answer) {
	finish.Status, finish.ContentType, finish.Body = storable(answer)
	permitted := residency.Of(b.VMState.Catalogue.Read(), call.Organisation, call.Request.Route.Name)
	finish.Withheld = !permitted.Everywhere()
	if finish.Withheld {
		b.Answers.Keep(finish.ClaimId, WithheldAnswer{
			ContentType: finish.ContentType, Body: finish.Body, Organisation: call.Organisation, Route: call.Request.Route.Name, Permitted: permitted,
		})
		finish.ContentType, finish.Body = "", nil
	}
}

// storable returns the parts of an answer that are stored. If they are too large,
// a note replaces the body, so that a resend still learns that the call ran.
func storable(answer exchange.Answer) (status int32, contentType string, body []byte) {
	for _, h := range answer.Headers {
		if h.Name == "Content-Type" {
			contentType = h.Value
		}
	}
	if len(answer.Body) > booking.MaxAnswer || len(contentType) > maxContentTypeBytes {
		return int32(answer.Status), "text/plain; charset=utf-8", []byte("the call ran once; its answer was too large to be stored\n")
	}
	return int32(answer.Status), contentType, answer.Body
}

// finish commits an outcome and waits for the commit, but not longer than wait.
// Retries then go on in the background. Until the commit the booking counts as
// claimed, so it can't run again.
func (b *Booker) finish(outcome *state.Finish, wait time.Duration) {
	command := &state.Command{Kind: &state.Command_Finish{Finish: outcome}}
	done := make(chan struct{})
	b.Background(func(parent context.Context) {
		defer close(done)
		ctx, cancel := context.WithTimeout(parent, finishTimeout)
		defer cancel()
		for ctx.Err() == nil {
			_, err := b.Proposer.Propose(ctx, command)
			if err == nil {
				return
			}
			b.Log.Warn("the outcome of a booking is not committed yet; retrying", "organisation", outcome.GetOrganisation(), "outcome", outcome.GetOutcome(), "error", err)
			time.Sleep(finishRetryDelay)
		}
	})
	select {
	case <-done:
	case <-time.After(wait):
	}
}
