// Package reserve takes tokens from an organisation's limit before a request
// is dispatched, and asks for loans when they run short.
package reserve

import (
	"context"
	"time"

	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/limit"
)

// Reserver reserves tokens.
type Reserver struct {
	Limiter *limit.Limiter
	Wait    time.Duration
	// Short tells that requests of an organisation wait; nil: no loans are
	// asked for.
	Short func(organisation string)
}

// Refusal is an error that tells when trying again may help.
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

// Reserve takes tokens or waits for them a bounded time. Without an
// organisation, on a route open to all, nothing is taken.
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
		if r.Short != nil {
			r.Short(organisation)
		}
	})
	if err != nil {
		return nil, &Refusal{RetryAfter: retryAfter, Err: &exchange.Failure{NotRun: true, Err: err}}
	}
	return taken, nil
}
