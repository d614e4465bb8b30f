package front

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"kingcuprill/core/bytebudget"
)

const (
	// bodiesReason is the reason of refusals as the bodies of requests take too much memory.
	bodiesReason = "bodies_take_memory"
	// bodiesRetryAfter is when callers that were refused for that should return; there is jitter
	// of as much again.
	bodiesRetryAfter = 500 * time.Millisecond
)

// errLateBody is the error of a body that is not whole when its request ends.
var errLateBody = errors.New("the body has not come in time")

// readBody reads the body, or refuses the request before it does.
func (x *exchange) readBody(ctx context.Context) *refusal {
	tooLarge := &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large", notRun: true}
	length, limit := x.caller.ContentLength, x.state.Plan.Plan.MaxBody
	if limit > 0 && length > limit {
		return tooLarge
	}
	if limit > 0 {
		x.caller.Body = http.MaxBytesReader(x.writer, x.caller.Body, limit)
	}
	loan := x.server.Bodies.Open(x.bodyOwner(), nil)
	err := loan.Reserve(length + 1) // as much as its reader allocates
	if err == nil {
		x.body, err = x.readWithin(ctx, loan)
	}
	var beyondLimit *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &beyondLimit), errors.Is(err, bytebudget.ErrTooLarge):
		return tooLarge
	case errors.Is(err, bytebudget.ErrUsedUp):
		return x.bodiesRefusal()
	case errors.Is(err, errLateBody):
		return x.lateBodyRefusal(ctx)
	}
	return &refusal{status: http.StatusBadRequest, reason: "body_not_read: " + err.Error(), notRun: true, ended: endedNotRead}
}

// bodyOwner returns whose share of the memory for bodies the request takes: that of its
// organisation, or of the host or VM that has sent it.
func (x *exchange) bodyOwner() string {
	if x.keyed {
		return "organisation " + x.organisation.Name
	}
	if x.from != "" {
		return vmPrefix + x.from
	}
	host, _, _ := net.SplitHostPort(x.caller.RemoteAddr)
	return "host " + host
}

// readWithin reads the body until the context ends.
func (x *exchange) readWithin(ctx context.Context, loan *bytebudget.Loan) (body *bytebudget.Whole, err error) {
	controller := http.NewResponseController(x.writer)
	stop := context.AfterFunc(ctx, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	body, err = bytebudget.ReadWhole(x.caller.Body, x.caller.ContentLength, math.MaxInt64, loan)
	if !stop() && (endedByStop(ctx) || context.Cause(ctx) == context.DeadlineExceeded) {
		body.Close()
		return nil, errLateBody
	}
	return body, err
}

// bodiesRefusal refuses a request for whose body there is no room.
func (x *exchange) bodiesRefusal() *refusal {
	x.writer.Header().Set("Connection", "close")
	after := bodiesRetryAfter + time.Duration(rand.Int64N(int64(bodiesRetryAfter)))
	after = min(after, time.Until(x.deadline)/retryAfterDivisor)
	return &refusal{status: http.StatusServiceUnavailable, reason: bodiesReason, retryAfter: after, notRun: true, ended: endedNotRead}
}

// lateBodyRefusal refuses a request whose body has not come whole in time.
func (x *exchange) lateBodyRefusal(ctx context.Context) *refusal {
	x.writer.Header().Set("Connection", "close")
	if endedByStop(ctx) {
		return &refusal{status: http.StatusServiceUnavailable, reason: stoppingReason, retryAfter: stoppingRetryAfter, notRun: true, ended: endedNotRead}
	}
	return &refusal{status: http.StatusRequestTimeout, reason: "body_late", notRun: true, ended: endedNotRead}
}
