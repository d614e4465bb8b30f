package front

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/backoff"
	"kingcuprill/core/entry"
	"kingcuprill/core/lease"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/core/quota"
	"kingcuprill/core/retry"
	"kingcuprill/core/watch"
	"kingcuprill/io/coordinator"
	"kingcuprill/io/draw"
	"kingcuprill/io/metrics"
	"kingcuprill/io/upstream"
)

// State is the configuration in force on this VM. It is immutable.
type State struct {
	Plan      *plan.Index // nil before the first one has come
	Revision  uint64
	Evacuated map[string]bool // by data centre
}

// Server serves the requests of plain HTTP routes.
type Server struct {
	Self    string
	Region  string
	Headers Headers
	State   *watch.Value[State]
	Lease   *lease.Lease
	Placer  *place.Placer
	// Coordinators give places at targets whose load this VM doesn't know, nil
	// where this VM is alone.
	Coordinators *coordinator.Client
	Quota        *quota.Limiter
	Drawer       *draw.Client
	Targets      *upstream.Client
	Peers        *upstream.Client
	Entries      *atomic.Pointer[[]entry.VM]
	// RetryAllowance is the number of retries that this VM may have in hand for
	// one service; RetryRatio is earned with each request.
	RetryAllowance func() float64
	RetryRatio     float64
	Metrics        *metrics.Metrics
	Log            *slog.Logger

	stop    atomic.Pointer[planned]
	budgets sync.Map                       // service to *retry.Budget
	regions backoff.Tracker[regionService] // that have refused requests
	running atomic.Int64
}

const (
	// maxAnswer bounds an answer that is not a stream, in bytes.
	maxAnswer = 16 << 20
	// unknownWait is the time that a VM mostly takes to get a configuration and
	// its confirmation, after its start or without a leader of the control log.
	unknownWait = 1500 * time.Millisecond
	// longestWait is taken for the time that a caller waits where it doesn't say.
	longestWait = 10 * time.Second
	// shortestReturn is the least time that a caller is told to wait when targets
	// are full.
	shortestReturn = 250 * time.Millisecond
	// returnShare is the part of its time left that a caller waits at most.
	returnShare = 3
)

// planned is a planned stop.
type planned struct {
	begun, end time.Time
}

// stopGrace is how long after the begin of a planned stop every request is
// still taken, as callers learn of the stop with a delay.
const stopGrace = 2 * time.Second

// StopAt tells when this VM will end.
func (s *Server) StopAt(end time.Time) {
	s.stop.Store(&planned{begun: time.Now(), end: end})
}

// outlasts tells whether a request may still run when this VM ends.
func (x *exchange) outlasts() bool {
	stop := x.server.stop.Load()
	return stop != nil && x.arrived.Sub(stop.begun) > stopGrace && x.deadline.After(stop.end)
}

// Running returns the number of requests that are being served.
func (s *Server) Running() int64 {
	return s.running.Load()
}

// ServeHTTP answers a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, "")
}

// FromEntryVM tells whether a request is one that another entry VM has handed
// over, and not a call of its own.
func FromEntryVM(r *http.Request) bool {
	return r.Header.Get(hopFrom) != ""
}

// ServeHop answers another entry VM, which has let the request in.
func (s *Server) ServeHop(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, r.Header.Get(hopFrom))
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, from string) {
	s.running.Add(1)
	defer s.running.Add(-1)
	x := &exchange{server: s, writer: w, caller: r, arrived: time.Now(), id: r.Header.Get(s.Headers.RequestID), from: from}
	s.Metrics.Requests.Inc(1)
	if refused := x.admit(); refused != nil {
		x.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.dispatch(ctx)
}

// refusal is an answer of this VM's own.
type refusal struct {
	status int
	reason string
	after  time.Duration // when to come back, 0 where it is of no use
	notRun bool
}

// kind is the reason without what differs from request to request.
func (r *refusal) kind() string {
	kind, _, _ := strings.Cut(r.reason, ":")
	return kind
}

// admit finds out who asks for what, and reads the request.
func (x *exchange) admit() *refusal {
	s := x.server
	state := s.State.Read()
	if state.Plan == nil {
		x.deadline = x.arrived.Add(s.Headers.timeLeft(x.caller.Header, longestWait))
		return x.unknown("no_configuration")
	}
	x.state = state
	x.header = x.caller.Header
	host := x.caller.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	// A negative answer needs the newest configuration as much as a positive one.
	fresh := s.Lease.Valid()
	const stale = "configuration_not_confirmed"
	x.deadline = x.arrived.Add(s.Headers.timeLeft(x.header, longestWait))
	route, found := state.Plan.Match(host, x.caller.URL.Path)
	if !found && !fresh {
		return x.unknown(stale)
	}
	if !found {
		return &refusal{status: http.StatusNotFound, reason: "no_route", notRun: true}
	}
	x.route = route
	if state.Plan.NeedsKey(route) {
		if !fresh {
			return x.unknown(stale)
		}
		key, _ := strings.CutPrefix(x.header.Get(keyHeader), "Bearer ")
		if x.organisation, x.keyed = state.Plan.ByKey(key); !x.keyed {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key", notRun: true}
		}
	}
	x.deadline = x.arrived.Add(s.Headers.timeLeft(x.header, route.Timeout))
	if x.outlasts() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", after: shortestReturn / 5, notRun: true}
	}
	return x.read(state.Plan.Plan.MaxBody)
}

// read takes in the body, and charges the organisation for the request.
func (x *exchange) read(maxBody int64) *refusal {
	if maxBody > 0 {
		x.caller.Body = http.MaxBytesReader(x.writer, x.caller.Body, maxBody)
	}
	body, err := io.ReadAll(x.caller.Body)
	if _, large := err.(*http.MaxBytesError); large {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large", notRun: true}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "body_not_read: " + err.Error(), notRun: true}
	}
	x.body = body
	x.demand = x.server.Headers.demand(x.header)
	x.service = x.route.Choose(x.id)
	if !x.keyed || x.from != "" {
		return nil
	}
	x.cost = float64(x.demand.Prompt + x.demand.Output)
	if x.cost == 0 {
		x.cost = x.organisation.PlainTokens
	}
	return x.charge()
}

// charge takes the request's cost from its organisation's limit.
func (x *exchange) charge() *refusal {
	s, o := x.server, x.organisation
	limit := quota.Limit{RatePerSecond: o.RatePerSecond, Burst: o.Burst}
	granted, order := s.Quota.Take(o.Name, limit, x.cost, x.arrived)
	if granted {
		if order.Want > 0 {
			go s.Drawer.Draw(context.Background(), o.Name, limit, order)
		}
		return nil
	}
	tokens, wait, reached := s.Drawer.Draw(x.caller.Context(), o.Name, limit, order)
	if s.Quota.AddDrawn(o.Name, limit, x.cost, tokens, reached, time.Now()) {
		return nil
	}
	x.cost = 0
	s.Metrics.RateLimited.Inc(1)
	return &refusal{status: http.StatusTooManyRequests, reason: "over_limit", after: wait, notRun: true}
}

// returnAfter tells a caller when to come back: when the backlog will have
// gone, and spread so that not all come at once. Callers wait for a third of
// the time that they have left at most.
func (x *exchange) returnAfter() time.Duration {
	now := time.Now()
	most := x.deadline.Sub(now) / returnShare
	backlog := max(shortestReturn, x.predicted-x.bound(now))
	spread := backlog + time.Duration(rand.Int64N(int64(backlog)))
	return min(spread, most)
}

// unknown refuses a request that can't be judged yet, and spreads the return of
// its caller over some time.
func (x *exchange) unknown(reason string) *refusal {
	after := unknownWait + time.Duration(rand.Int64N(int64(unknownWait/3)))
	after = min(after, x.deadline.Sub(x.arrived)/returnShare)
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, after: after, notRun: true}
}

type regionService struct{ region, service string }

// refuse answers the caller without a target's answer.
func (x *exchange) refuse(r *refusal) {
	s := x.server
	if r.notRun && x.cost > 0 {
		s.Quota.Refund(x.organisation.Name, x.cost)
	}
	header := x.writer.Header()
	if x.id != "" && s.Headers.RequestID != "" {
		header.Set(s.Headers.RequestID, x.id)
	}
	if r.after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', 3, 64))
	}
	if x.from != "" && r.notRun {
		header.Set(hopNotRun, r.reason)
	}
	x.writer.WriteHeader(r.status)
	s.Metrics.Refused.Inc(1)
	s.Metrics.Count("refused." + strconv.Itoa(r.status) + "." + r.kind())
	x.log("request is refused", "status", r.status, "reason", r.reason, "retry_after", r.after, "not_run", r.notRun)
}

// log writes the line that ends a request.
func (x *exchange) log(message string, args ...any) {
	s := x.server
	fields := []any{
		"request", x.id, "route", x.route.Name, "organisation", x.organisation.Name, "from", x.from,
		"tries", x.tries, "target", x.target, "took", time.Since(x.arrived).Round(time.Millisecond / 10),
		"predicted", x.predicted.Round(time.Millisecond / 10), "first", x.first.Round(time.Millisecond / 10), "prompt", x.demand.Prompt,
		"waited_before", x.elapsed(x.arrived).Round(time.Millisecond),
	}
	if x.state != nil && x.state.Plan != nil {
		fields = append(fields, "plan", x.state.Plan.Plan.Version, "lease_left", s.Lease.Left().Round(time.Millisecond))
	}
	s.Log.Info(message, append(fields, args...)...)
}

// budget returns the retries in hand for a service. Their bound follows the
// number of VMs that share it.
func (s *Server) budget(service string) *retry.Budget {
	const thousandths = 1000
	found, known := s.budgets.Load(service)
	if !known {
		found, _ = s.budgets.LoadOrStore(service, &retry.Budget{Ratio: int64(s.RetryRatio * thousandths)})
	}
	budget := found.(*retry.Budget)
	budget.SetLargest(int64(s.RetryAllowance() * thousandths))
	return budget
}
