// Package caller is the HTTP server for callers: model completions in the usual
// JSON protocol with streams of server-sent events, calls to plain services, and
// the list of entry VMs to use. It authenticates each request, checks residency,
// reserves tokens of the organisation's rate limit and passes the request to the
// dispatcher. Errors tell the caller whether the request has certainly not run.
package caller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uptrace/bunrouter"

	"kingcuprill/core/access"
	"kingcuprill/core/bytebudget"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/hops"
	"kingcuprill/core/inflight"
	"kingcuprill/core/residency"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/book"
	"kingcuprill/io/dispatch"
	"kingcuprill/io/metrics"
	"kingcuprill/io/reserve"
	"kingcuprill/io/settings"
)

// Server handles the requests of callers. Its exported fields must be set before
// Handler is called.
type Server struct {
	VMState    *vmstate.State
	Dispatcher *dispatch.Dispatcher
	Reserver   *reserve.Reserver
	Booker     *book.Booker
	Register   *inflight.Register
	Limits     settings.Limits
	Bodies     *bytebudget.Budget // bounds the memory of the bodies of all requests; nil is no bound
	Metrics    *metrics.Metrics
	Log        *slog.Logger
	// Ready returns an error that says why this VM can't take requests, or nil.
	Ready func() error

	running atomic.Int64 // requests
}

// Handler returns the routes of the callers' listener.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.GET("/healthz", s.wrap(s.health))
	router.GET("/readyz", s.wrap(s.ready))
	router.GET("/v1/models", s.wrap(s.models))
	router.GET("/v1/vms", s.wrap(s.vms))
	router.POST("/v1/chat/completions", s.wrap(s.chat))
	router.POST("/v1/completions", s.wrap(s.completion))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:route", s.wrap(s.service))
		router.Handle(method, "/services/:route/*path", s.wrap(s.service))
	}
	return router
}

// incomingRequest is one request of a caller and what is logged about it.
type incomingRequest struct {
	id      string
	started time.Time
	key     catalogue.Key // zero if the request has none
	route   catalogue.Route
	status  int
	used    int              // tokens
	ended   bool             // the log line of its end is written
	loan    *bytebudget.Loan // of its body
	// revision is that of the catalogue at the arrival.
	revision uint64
	// untracked marks a health check or a lookup, which is neither logged nor
	// counted.
	untracked bool
	w         http.ResponseWriter
	r         bunrouter.Request
}

// wrap assigns the request id, limits the number of concurrent requests, writes
// the error response and logs the result.
func (s *Server) wrap(handle func(*incomingRequest) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		in := &incomingRequest{id: uuid.NewString(), started: time.Now(), w: w, r: r, status: http.StatusOK, revision: s.VMState.Catalogue.Read().Revision}
		w.Header().Set("X-Request-Id", in.id)
		defer s.running.Add(-1)
		defer func() { in.loan.Close() }()
		defer s.settle(in)
		var err error
		if s.running.Add(1) > int64(s.Limits.MaxConcurrent) {
			err = fault.New(fault.Overloaded, "this VM has reached limits.max_concurrent (%d requests); try again later", s.Limits.MaxConcurrent)
		} else {
			err = handle(in)
		}
		var written *startedError
		if err != nil && !errors.As(err, &written) {
			in.status = writeError(w, err)
		}
		s.finish(in, err)
		return nil
	}
}

// finish logs and counts a request.
func (s *Server) finish(in *incomingRequest, err error) {
	in.ended = true
	if in.untracked {
		return // too frequent for the log, and uses no target
	}
	s.Metrics.Requests.Inc(1)
	took := time.Since(in.started)
	attributes := []any{
		"request_id", in.id, "organisation", in.key.Organisation, "key_id", in.key.ID, "route", in.route.Name,
		"status", in.status, "duration", took, "tokens", in.used,
	}
	attributes = append(attributes, s.noteEnd(in, in.endKind(err))...)
	if err == nil || errors.Is(err, errNotWritten) {
		s.Metrics.Answer.Update(took)
		s.VMState.Burn.Count(in.key.Organisation, in.route.Name, false)
		s.Log.Info("answered", attributes...)
		return
	}
	code := fault.CodeOf(err)
	s.countFailure(in, code)
	s.Log.Info("refused", append(attributes, "code", code, "not_run", exchange.NotRun(err) || notRunCode(code), "error", err)...)
}

// settle is deferred by the handler: a request must not end unnoticed.
func (s *Server) settle(in *incomingRequest) {
	if in.ended {
		return
	}
	fields := append([]any{"request_id", in.id, "route", in.route.Name, "duration", time.Since(in.started)}, s.noteEnd(in, endedOpen)...)
	s.Log.Error("request ends without a result", fields...)
}

// countFailure counts a failed request in the metrics and, if its route is known,
// in the burn rate, where errors of the caller don't count as failures.
func (s *Server) countFailure(in *incomingRequest, code fault.Code) {
	clientError := false
	switch code {
	case fault.RateLimited:
		s.Metrics.RateLimited.Inc(1)
	case fault.Unauthenticated, fault.Forbidden, fault.NotFound, fault.Invalid, fault.Residency, fault.Quarantined, fault.Conflict:
		s.Metrics.Refused.Inc(1)
		clientError = true
	default:
		s.Metrics.Failed.Inc(1)
	}
	if in.route.Name != "" {
		s.VMState.Burn.Count(in.key.Organisation, in.route.Name, !clientError)
	}
}

// secret returns the API key's secret from the Authorization or X-Api-Key header.
func secret(r *http.Request) string {
	if bearer, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); found {
		return strings.TrimSpace(bearer)
	}
	return r.Header.Get("X-Api-Key")
}

// admit authenticates the request, unless the route is open and it has no key, and
// checks that it may use the route in this region.
func (s *Server) admit(in *incomingRequest, route catalogue.Route) (err error) {
	in.route = route
	if !route.Open || secret(in.r.Request) != "" {
		if in.key, err = access.Authenticate(s.VMState, secret(in.r.Request)); err != nil {
			return err
		}
	}
	if err := access.CheckRoute(route, in.key.Organisation); err != nil {
		return err
	}
	if !residency.Of(s.VMState.Catalogue.Read(), in.key.Organisation, route.Name).Allows(s.VMState.Region) {
		return fault.New(fault.Residency, "requests of organisation %q on route %q may not enter in region %q; ask GET /v1/vms?route=%s for VMs that take them",
			in.key.Organisation, route.Name, s.VMState.Region, route.Name)
	}
	return nil
}

// request returns the request in the form that the dispatcher takes.
func (s *Server) request(in *incomingRequest) exchange.Request {
	return exchange.Request{
		ID: in.id, Organisation: in.key.Organisation, KeyID: in.key.ID, Route: in.route,
		Path: hops.Path{VMs: []string{s.VMState.Self}}, Deadline: in.started.Add(in.route.Deadline),
	}
}

// enter registers the request, so that it is cancelled when its key is withdrawn,
// and sets its deadline. leave must be called when the request ends.
func (s *Server) enter(in *incomingRequest, deadline time.Time) (ctx context.Context, leave func()) {
	ctx, left := s.Register.Enter(in.r.Context(), in.key.ID)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, func() { cancel(); left() }
}

// contextFailure replaces an error by the reason for which the context ended, such
// as the withdrawal of a key or the deadline. Other errors, and that of a booking whose
// outcome is unknown, are returned as they are.
func contextFailure(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil || fault.CodeOf(err) == fault.OutcomeUnknown {
		return err
	}
	if cause := context.Cause(ctx); cause != nil && fault.CodeOf(cause) != fault.Internal {
		return &exchange.Failure{NotRun: exchange.NotRun(err), Err: cause}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return &exchange.Failure{NotRun: exchange.NotRun(err), Err: fault.New(fault.Deadline, "the request did not end before the deadline of its route")}
	}
	return err
}
