// Package caller is the HTTP side towards callers: the usual JSON protocol for
// completions with server-sent-event streams, calls to plain services, and the
// question which entry VMs to use.
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
	"kingcuprill/core/board"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/hops"
	"kingcuprill/core/inflight"
	"kingcuprill/core/residency"
	"kingcuprill/io/book"
	"kingcuprill/io/dispatch"
	"kingcuprill/io/metrics"
	"kingcuprill/io/reserve"
	"kingcuprill/io/settings"
)

// Server answers callers.
type Server struct {
	Board      *board.Board
	Dispatcher *dispatch.Dispatcher
	Reserver   *reserve.Reserver
	Booker     *book.Booker
	Register   *inflight.Register
	Limits     settings.Limits
	Metrics    *metrics.Metrics
	Log        *slog.Logger
	// Ready tells whether this VM may be given requests.
	Ready func() error

	running atomic.Int64
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

// visit is one request of a caller.
type visit struct {
	id      string
	started time.Time
	key     catalogue.Key // empty without one
	route   catalogue.Route
	status  int
	used    int // tokens
	// question marks a question about the system itself.
	question bool
	w        http.ResponseWriter
	r        bunrouter.Request
}

// wrap gives a request its id, bounds how many run, and logs its end.
func (s *Server) wrap(handle func(*visit) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		v := &visit{id: uuid.NewString(), started: time.Now(), w: w, r: r, status: http.StatusOK}
		w.Header().Set("X-Request-Id", v.id)
		defer s.running.Add(-1)
		var err error
		if s.running.Add(1) > int64(s.Limits.MaxConcurrent) {
			err = fault.New(fault.Overloaded, "this VM runs %d requests already", s.Limits.MaxConcurrent)
		} else {
			err = handle(v)
		}
		var written *begun
		if err != nil && !errors.As(err, &written) {
			v.status = writeError(w, err)
		}
		s.finish(v, err)
		return nil
	}
}

func (s *Server) finish(v *visit, err error) {
	if v.question {
		return // runs nothing, and is asked all the time
	}
	s.Metrics.Requests.Inc(1)
	took := time.Since(v.started)
	attributes := []any{
		"request_id", v.id, "organisation", v.key.Organisation, "key_id", v.key.ID, "route", v.route.Name,
		"status", v.status, "duration", took, "tokens", v.used,
	}
	if err == nil {
		s.Metrics.Answer.Update(took)
		s.Board.Burn.Count(v.key.Organisation, v.route.Name, false)
		s.Log.Info("answered", attributes...)
		return
	}
	code := fault.CodeOf(err)
	s.countFailure(v, code)
	s.Log.Info("refused", append(attributes, "code", code, "not_run", exchange.NotRun(err) || notRunCode(code), "error", err)...)
}

func (s *Server) countFailure(v *visit, code fault.Code) {
	callersFault := false
	switch code {
	case fault.RateLimited:
		s.Metrics.Limited.Inc(1)
	case fault.Unauthenticated, fault.Forbidden, fault.NotFound, fault.Invalid, fault.Residency, fault.Quarantined, fault.Conflict:
		s.Metrics.Refused.Inc(1)
		callersFault = true
	default:
		s.Metrics.Failed.Inc(1)
	}
	if v.route.Name != "" {
		s.Board.Burn.Count(v.key.Organisation, v.route.Name, !callersFault)
	}
}

// secret returns the key's secret of a request, from either usual header.
func secret(r *http.Request) string {
	if bearer, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); found {
		return strings.TrimSpace(bearer)
	}
	return r.Header.Get("X-Api-Key")
}

// admit checks who sends the request and whether it may use the route here.
func (s *Server) admit(v *visit, route catalogue.Route) (err error) {
	v.route = route
	if !route.Open || secret(v.r.Request) != "" {
		if v.key, err = access.Authenticate(s.Board, secret(v.r.Request)); err != nil {
			return err
		}
	}
	if err := access.CheckRoute(route, v.key.Organisation); err != nil {
		return err
	}
	if !residency.Of(s.Board.Catalogue.Read(), v.key.Organisation, route.Name).Allows(s.Board.Region) {
		return fault.New(fault.Residency, "requests of organisation %q on route %q may not enter in region %q; ask GET /v1/vms?route=%s for VMs that take them",
			v.key.Organisation, route.Name, s.Board.Region, route.Name)
	}
	return nil
}

// request builds what the dispatcher runs.
func (s *Server) request(v *visit) exchange.Request {
	return exchange.Request{
		ID: v.id, Organisation: v.key.Organisation, KeyID: v.key.ID, Route: v.route,
		Path: hops.Path{VMs: []string{s.Board.Self}}, Deadline: v.started.Add(v.route.Deadline),
	}
}

// enter registers the request so that its key's withdrawal ends it.
func (s *Server) enter(v *visit, deadline time.Time) (ctx context.Context, leave func()) {
	ctx, left := s.Register.Enter(v.r.Context(), v.key.ID)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, func() { cancel(); left() }
}

// ended returns the cause when a context was ended for a reason of its own.
func ended(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	if cause := context.Cause(ctx); cause != nil && fault.CodeOf(cause) != fault.Internal {
		return &exchange.Failure{NotRun: exchange.NotRun(err), Err: cause}
	}
	if ctx.Err() == context.DeadlineExceeded {
		return &exchange.Failure{NotRun: exchange.NotRun(err), Err: fault.New(fault.Deadline, "the deadline of the route has passed")}
	}
	return err
}
