package front

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/backoff"
	"kingcuprill/core/bytebudget"
	"kingcuprill/core/drain"
	"kingcuprill/core/entry"
	"kingcuprill/core/inflight"
	"kingcuprill/core/lease"
	"kingcuprill/core/linkbudget"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/quota"
	"kingcuprill/core/regionload"
	"kingcuprill/core/retry"
	"kingcuprill/core/watch"
	"kingcuprill/io/coordinator"
	"kingcuprill/io/draw"
	"kingcuprill/io/metrics"
	"kingcuprill/io/streamversion"
	"kingcuprill/io/targetlink"
	"kingcuprill/io/upstream"
)

// State is the configuration that applies on this VM. It is immutable.
type State struct {
	Plan      *plan.Index // nil until a configuration has been received
	Revision  uint64
	Evacuated map[string]bool // by data centre
}

// Server serves the requests of plain HTTP routes.
type Server struct {
	Self    string // id of this VM
	Region  string
	Headers Headers
	State   *watch.Value[State]
	Lease   *lease.Lease // valid while keys of the configuration may be used
	// NewestWithin is the time after a change in which requests may still run by the
	// configuration before it; 0 for the duration of the lease.
	NewestWithin time.Duration
	// ByRank says that requests are placed by their rank, and that the route's priority
	// tells apart requests of organisations with the same priority.
	ByRank bool
	// ByRegion says that requests leave this region before it is full if another one is
	// predicted to answer clearly earlier.
	ByRegion bool
	Placer   *place.Placer // chooses targets of this region and regions to forward to
	// Coordinators reserves places at targets that other VMs coordinate; nil if
	// this is the only VM.
	Coordinators *coordinator.Client
	Quota        *quota.Limiter
	// Streams remembers at which versions of targets streams have begun; nil if streams
	// can't be taken up again.
	Streams *streamversion.Client
	// Starts is how targets are asked which start they are; nil if they can't be, so that
	// their registrations are relied on.
	Starts *Starts
	// Bodies bounds the memory of the bodies of all requests; nil is no bound.
	Bodies *bytebudget.Budget
	// Quarantine holds what is known of requests that crash targets.
	Quarantine *quarantine.List
	Drawer     *draw.Client        // draws tokens of rate limits from the control VMs
	Targets    *upstream.Client    // sends requests to targets
	Links      *targetlink.Monitor // of this VM to the targets
	Link       *linkbudget.Budget  // of this VM's network link; nil is no bound
	Peers      *upstream.Client    // forwards requests to other entry VMs
	Entries    *atomic.Pointer[[]entry.VM]
	Metrics    *metrics.Metrics
	Log        *slog.Logger

	stop       drain.Clock
	budgets    sync.Map                     // budgetKey to *retry.Budget
	regions    backoff.Tracker[regionRoute] // backoff after a region refused a request
	partners   backoff.Tracker[string]      // backoff after an entry VM of another region has not answered
	regionLoad regionload.Table             // what the other regions predict for the requests forwarded there
	running    inflight.Register
	crashes    crashChecks
	// unreadable are the targets whose number of refusals can't be read.
	unreadable onceEach
}

const (
	// maxAnswer bounds an answer that is not a stream, in bytes.
	maxAnswer = 16 << 20
	// configurationWait is the time in which a VM usually gets a configuration and
	// its confirmation after it has started or the control log has lost its leader.
	configurationWait = 1500 * time.Millisecond
	// defaultTimeLeft bounds the time that a caller waits while its route isn't
	// known, and is assumed if the caller doesn't say.
	defaultTimeLeft = 10 * time.Second
	// minRetryAfter is the shortest Retry-After when targets are full.
	minRetryAfter = 250 * time.Millisecond
	// retryAfterDivisor gives the part of its time left that a caller waits at most
	// before it retries.
	retryAfterDivisor = 3
	// notConfirmed is the reason of refusals without a confirmed configuration.
	notConfirmed = "configuration_not_confirmed"
	// overLimit is the reason of refusals by the organisation's limit.
	overLimit = "over_limit"
	// noConfiguration is the reason of refusals before the first configuration.
	noConfiguration = "no_configuration"
)

// Running returns the number of requests that are being served.
func (s *Server) Running() int64 {
	return s.running.Count()
}

// ServeHTTP serves a request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, "")
}

// IsForwarded reports whether a request is a caller's request that another entry
// VM has forwarded, as opposed to a call of that VM's own.
func IsForwarded(r *http.Request) bool {
	return r.Header.Get(hopFrom) != ""
}

// ServeForwarded serves a request that another entry VM has admitted and forwarded.
// It isn't forwarded again.
func (s *Server) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, r.Header.Get(hopFrom))
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, from string) {
	running, leave := s.running.Enter(r.Context(), "")
	defer leave()
	x := &exchange{server: s, writer: w, caller: r, arrived: time.Now(), id: r.Header.Get(s.Headers.RequestID), from: from}
	s.Metrics.Requests.Inc(1)
	defer x.settle()
	defer func() { x.body.Close() }()
	if refused := x.admit(); refused != nil {
		x.refuse(refused)
		return
	}
	defer x.settleLink()
	if refused := x.admitWork(); refused != nil {
		x.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(running, x.deadline)
	defer cancel()
	if refused := x.read(ctx); refused != nil {
		x.refuse(refused)
		return
	}
	if refused := x.takeUp(ctx); refused != nil {
		x.refuse(refused)
		return
	}
	x.dispatch(ctx)
	if x.abandoned {
		panic(http.ErrAbortHandler) // net/http would complete the answer
	}
}

// refusal is an error answer that this VM gives itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // until the caller should retry, 0 if a retry is of no use
	notRun     bool
	ended      endKind // if it is no answer to a request that was read
}

// kind returns the reason without the part that differs between requests.
func (r *refusal) kind() string {
	kind, _, _ := strings.Cut(r.reason, ":")
	return kind
}

// admit finds the route and authenticates the caller.
func (x *exchange) admit() *refusal {
	s := x.server
	x.deadline = x.arrived.Add(s.Headers.timeLeft(x.caller.Header, defaultTimeLeft))
	caughtUp := x.caughtUp()
	// A confirmation that comes after the state is read may be of a newer one.
	newest := s.Lease.Within(s.NewestWithin)
	state := s.State.Read()
	if state.Plan == nil {
		return x.configurationRefusal(noConfiguration)
	}
	x.state = state
	x.header = x.caller.Header
	// A newer plan may forbid where a request runs, and have routes and keys that this one
	// doesn't.
	if !caughtUp || !newest {
		return x.configurationRefusal(notConfirmed)
	}
	route, found := state.Plan.Match(hostName(x.caller.Host), x.caller.URL.Path)
	if !found {
		return &refusal{status: http.StatusNotFound, reason: "no_route", notRun: true}
	}
	x.route = route
	if state.Plan.NeedsKey(route) {
		key, _ := strings.CutPrefix(x.header.Get(keyHeader), "Bearer ")
		if x.organisation, x.keyed = state.Plan.ByKey(key); !x.keyed {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key", notRun: true}
		}
	}
	x.deadline = x.arrived.Add(s.Headers.timeLeft(x.header, route.Timeout))
	return x.stopRefusal()
}

// admitWork refuses the request before its body is read if it is known to be over its limit, or
// if the link has no room for it.
func (x *exchange) admitWork() *refusal {
	x.demand = x.server.Headers.demand(x.header)
	x.cost = x.tokens()
	if refused := x.knownLimit(); refused != nil {
		return refused
	}
	x.cost = 0 // it is charged once the body is there
	return x.admitToLink()
}

// tokens returns what the request costs its organisation, 0 if this VM doesn't charge it.
func (x *exchange) tokens() float64 {
	if !x.keyed || x.from != "" {
		return 0
	}
	if cost := float64(x.demand.Prompt + x.demand.Output); cost > 0 {
		return cost
	}
	return x.organisation.PlainTokens
}

// read reads the body and charges the organisation for the request.
func (x *exchange) read(ctx context.Context) *refusal {
	if refused := x.readBody(ctx); refused != nil {
		return refused
	}
	if refused := x.stopRefusal(); refused != nil {
		return refused
	}
	x.service = x.route.Choose(x.id)
	if !x.keyed || x.from != "" {
		return nil
	}
	x.cost = x.tokens()
	if refused := x.knownLimit(); refused != nil {
		return refused
	}
	return x.charge()
}

// charge takes the request's cost from its organisation's rate limit.
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
	if s.Quota.AddDrawn(o.Name, limit, order, x.cost, tokens, reached, time.Now()) {
		return nil
	}
	x.cost = 0
	s.Metrics.RateLimited.Inc(1)
	return &refusal{status: http.StatusTooManyRequests, reason: overLimit, retryAfter: wait, notRun: true}
}

// retryAfter returns when the caller should retry: after the backlog has been
// worked off, with jitter so that callers don't all retry at once. Callers wait
// for at most a third of the time that they have left.
func (x *exchange) retryAfter() time.Duration {
	now := time.Now()
	longest := x.deadline.Sub(now) / retryAfterDivisor
	_, paused := x.server.Placer.Paused(x.service, now)
	backlog := max(minRetryAfter, x.predicted-x.bound(now), paused)
	jittered := backlog + time.Duration(rand.Int64N(int64(backlog)))
	return min(jittered, longest)
}

// configurationRefusal refuses a request because the configuration is missing or
// not confirmed. Retry-After has jitter, so that callers don't all retry at once.
func (x *exchange) configurationRefusal(reason string) *refusal {
	after := configurationWait + time.Duration(rand.Int64N(int64(configurationWait/3)))
	after = min(after, x.deadline.Sub(x.arrived)/retryAfterDivisor)
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after, notRun: true}
}

// regionRoute is a region and a route whose requests it may refuse. A refusal of long
// prompts says nothing about short ones of the same service.
type regionRoute struct{ region, route string }

// refuse sends an error answer of this VM. If the request has not run, its
// tokens are refunded.
func (x *exchange) refuse(r *refusal) {
	s := x.server
	if r.notRun && x.cost > 0 {
		s.Quota.Refund(x.organisation.Name, x.cost)
	}
	header := x.writer.Header()
	if x.id != "" && s.Headers.RequestID != "" {
		header.Set(s.Headers.RequestID, x.id)
	}
	x.closeInStop(header)
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	if x.from != "" && r.notRun {
		header.Set(hopNotRun, r.reason)
		x.setPredicted(header)
	}
	x.writer.WriteHeader(r.status)
	s.Metrics.Refused.Inc(1)
	s.Metrics.Count("refused." + strconv.Itoa(r.status) + "." + r.kind())
	if s.ByRank && x.demand.Prompt > 0 {
		s.Metrics.Count("refused.rank." + strconv.Itoa(x.rank()))
	}
	fields := []any{"status", r.status, "reason", r.reason, "retry_after", r.retryAfter, "not_run", r.notRun}
	if r.ended != "" {
		x.end(r.ended, "request is refused", fields...)
		return
	}
	x.log("request is refused", fields...)
}

// log writes the log line for the end of a request.
func (x *exchange) log(message string, args ...any) {
	s := x.server
	x.ended = true
	fields := []any{
		"request", x.id, "route", x.route.Name, "organisation", x.organisation.Name, "from", x.from,
		"tries", x.tries, "target", x.target, "coordinator", x.coordinator, "took", time.Since(x.arrived).Round(time.Millisecond / 10),
		"predicted", x.predicted.Round(time.Millisecond / 10), "first", x.first.Round(time.Millisecond / 10), "prompt", x.demand.Prompt,
		"left", x.deadline.Sub(x.arrived).Round(time.Millisecond),
	}
	if s.ByRank {
		fields = append(fields, "rank", x.rank())
	}
	if x.state != nil && x.state.Plan != nil {
		fields = append(fields, "plan", x.state.Plan.Plan.Version, "lease_left", s.Lease.Left().Round(time.Millisecond))
	}
	s.Log.Info(message, append(fields, args...)...)
}

// budgetKey is a service and the part of its retries for each request that the VMs
// hold.
type budgetKey struct {
	service string
	ratio   float64
}

// budget returns this VM's own retry budget for the service of a request, from which
// retries without a coordinator are taken. Its bound is updated at each call, as it
// depends on the number of VMs that share the service.
func (s *Server) budget(r place.Request) *retry.Budget {
	const thousandths = 1000
	own := s.Placer.OwnRetries(r)
	key := budgetKey{service: r.Service, ratio: own.Ratio}
	found, known := s.budgets.Load(key)
	if !known {
		found, _ = s.budgets.LoadOrStore(key, &retry.Budget{Ratio: int64(own.Ratio * thousandths)})
	}
	budget := found.(*retry.Budget)
	budget.SetLargest(int64(own.Slack * thousandths))
	return budget
}
