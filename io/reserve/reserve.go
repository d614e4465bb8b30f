// Package reserve applies an organisation's rate limit to a request before it is
// dispatched. It takes the tokens that the request may use from the organisation's
// account on this VM, waits a bounded time for them, and signals a shortage so that
// the account can borrow from other VMs.
package reserve

import (
	"context"
	"time"

	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/limit"
)

// Reserver reserves tokens of organisations' accounts.
type Reserver struct {
	Limiter *limit.Limiter
	Wait    time.Duration // longest wait for tokens
	// OnShortage is called when a request of an organisation waits for tokens. If nil,
	// no loans are requested.
	OnShortage func(organisation string)
}

// Refusal is an error with the time after which a retry may succeed.
type Refusal struct {
	RetryAfter time.Duration
	Err        error
}

// Error returns the text of the cause.
func (r *Refusal) Error() string {
	return r.Err.Error()
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error {
	return r.Err
}

// Reserve takes tokens, and waits up to Wait for them. Without an organisation, as
// on a route open to all, taken is nil. The error is a *Refusal if the tokens
// didn't become available, and an *exchange.Failure if the organisation's burst
// is too small for the request. If the organisation doesn't exist, it is
// fault.NotFound.
func (r *Reserver) Reserve(ctx context.Context, organisation string, tokens int) (taken *limit.Reservation, err error) {
	if organisation == "" {
		return nil, nil
	}
	account, err := r.Limiter.Account(organisation)
	if err != nil {
		return nil, err
	}
	if burst := r.Limiter.Catalogue.Read().Organisations[organisation].Burst; float64(tokens) > burst {
		return nil, &exchange.Failure{NotRun: true, Final: true, Err: fault.New(fault.Invalid,
			"the request may use %d tokens, more than the organisation's burst of %.0f; lower max_tokens or shorten the prompt", tokens, burst)}
	}
	taken, retryAfter, err := account.Reserve(ctx, float64(tokens), r.Wait, func() {
		if r.OnShortage != nil {
			r.OnShortage(organisation)
		}
	})
	if err != nil {
		return nil, &Refusal{RetryAfter: retryAfter, Err: &exchange.Failure{NotRun: true, Err: err}}
	}
	return taken, nil
}
