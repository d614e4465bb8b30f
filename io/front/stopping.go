package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"kingcuprill/core/drain"
	"kingcuprill/core/plan"
)

const (
	// stoppingReason is the reason of refusals by a VM in a planned stop.
	stoppingReason = "stopping"
	// stoppingRetryAfter is when callers that are refused in a planned stop should go to
	// another VM.
	stoppingRetryAfter = 50 * time.Millisecond
)

// Stop starts a planned stop: requests that may run beyond its end are refused, and those
// that still run shortly before it get an answer.
func (s *Server) Stop(stop drain.Stop) {
	s.stop.Begin(stop)
	time.AfterFunc(time.Until(stop.AnswerBy()), func() { s.running.EndAll(drain.ErrEnded) })
}

// endedByStop reports whether a planned stop has ended the request of a context.
func endedByStop(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), drain.ErrEnded)
}

// outlastsStop reports whether the request has not run and may still run when this VM
// ends.
func (x *exchange) outlastsStop() bool {
	return x.runs == 0 && !x.server.stop.Takes(time.Now(), x.deadline, x.route.Kind != plan.NonIdempotent)
}

// stopRefusal refuses the request if it may still run when this VM ends.
func (x *exchange) stopRefusal() *refusal {
	if !x.outlastsStop() {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: stoppingReason, retryAfter: stoppingRetryAfter, notRun: true}
}

// closeInStop tells the caller during a planned stop to send nothing more on its
// connection.
func (x *exchange) closeInStop(header http.Header) {
	if _, begun := x.server.stop.Stop(); begun {
		header.Set("Connection", "close")
	}
}
