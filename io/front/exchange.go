package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"kingcuprill/core/backlog"
	"kingcuprill/core/bytebudget"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/streamversion"
	"kingcuprill/io/upstream"
)

const (
	// extraTries is the number of tries beyond the route's attempts, for targets
	// that refuse a request without running it.
	extraTries = 2
)

var errNoCoordinator = errors.New("no call to the target's coordinator is possible now")

// exchange is the state of one request of a caller, over all its tries.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	caller  *http.Request
	arrived time.Time
	id      string
	from    string // entry VM that has forwarded the request, empty for callers

	state        *State
	header       http.Header
	route        plan.Route
	organisation plan.Organisation
	keyed        bool // the caller has sent a key of the organisation
	service      string
	demand       place.Demand
	cost         float64  // tokens charged
	use          *linkUse // of this VM's network link, nil if it isn't bounded
	deadline     time.Time
	body         *bytebudget.Whole // closed at the end of the request

	predicted time.Duration // from the last selection of a target to the begin of its answer
	first     time.Duration // from the arrival to the begin of the answer

	tries    int // targets that were selected and, but for unsent ones, sent the request
	unsent   int
	spared   int // refused while another target was silent, to which maxTries doesn't apply
	runs     int // of these, the ones that may have run
	excluded []string
	outOfUse []string // entry VMs that can't serve the request
	target   string   // of the last try
	// coordinator is the VM that was asked last for a place, and answered.
	coordinator string
	begun       bool  // part of an answer has been sent to the caller
	last        int64 // id of the last event delivered
	hasLast     bool
	stay        bool          // another region has refused the request, which isn't sent there again
	left        bool          // it was sent to another region, as this one is busy
	regionSeed  uint64        // of the random numbers for the choice of a region, 0 before the first
	failure     *failedAnswer // of a target, sent if no later try succeeds

	origin    streamOrigin
	answering *streamversion.Version // of the target that answers the current try, nil if it isn't known
	start     *upstream.Start        // of the target of the last try that the request is for, nil if it isn't asked

	crashIdentity quarantine.Request // see identity
	trial         bool               // it runs apart from other requests with its suspect parts
	progress      answerProgress     // of the answer of this VM's last try

	heard     time.Duration // from the arrival until the last sign of the target
	lastError error         // of the last try that failed
	ended     bool          // the log line of its end is written
	abandoned bool          // the connection to the caller must be closed as it is

	behind   *hedge // of the try that this exchange runs beside, nil if there is none
	silentVM string // entry VM at which that try waits
}

// failedAnswer is a complete answer with an error status.
type failedAnswer struct {
	response *upstream.Response
	body     *bytebudget.Whole // closed at the end of the request
}

// outcome is how a try ended.
type outcome uint8

const (
	delivered  outcome = iota // the caller has the whole answer or has disconnected
	notRun                    // the target has certainly not run the request
	mayHaveRun                // nothing of the answer was delivered, but the target may have run the request
	broken                    // the answer broke off after part of it was delivered
)

// dispatch ends the request with an answer.
func (x *exchange) dispatch(ctx context.Context) {
	x.server.budget(x.placement(time.Now())).Request()
	if !x.quarantined(ctx) {
		x.tryTargets(ctx, notRun)
	}
}

// tryTargets tries targets until one has answered the caller or no further try is
// allowed. result is the outcome of the tries so far.
func (x *exchange) tryTargets(ctx context.Context, result outcome) {
	for x.hasTries() {
		if x.outlastsStop() {
			x.giveUp(ctx, result, stoppingReason)
			return
		}
		if (x.tries > 0 || x.runs > 0) && !x.mayTryAgain(ctx, result) {
			break
		}
		if x.server.Links.Lost() {
			if x.goAround(ctx, &result) {
				return
			}
			continue // the links are whole again
		}
		reserved, predicted, reason := x.place(ctx)
		x.predicted = predicted
		if reserved == nil {
			if reason == place.Elsewhere {
				x.server.Log.Info("request is sent to the home region of its shared part", "request", x.id, "service", x.service, "prompt", x.demand.Prompt)
			}
			if x.forward(ctx, reason, &result) {
				return
			}
			if x.comesBack(reason, result) {
				x.stay = true
				continue
			}
			x.giveUp(ctx, result, string(reason))
			return
		}
		if x.unconfirmed() {
			reserved.Done(place.Inconclusive, time.Now())
			x.giveUp(ctx, result, notConfirmed)
			return
		}
		result = x.try(ctx, reserved)
		if result == delivered {
			return
		}
	}
	reason := "tries_used_up"
	if verdict := x.judge(); verdict.Suspect || verdict.Refused {
		reason = suspectReason
	}
	x.giveUp(ctx, result, reason)
}

// unconfirmed reports whether the caller's key may have been withdrawn: the lease may have
// expired since it was checked.
func (x *exchange) unconfirmed() bool {
	return x.keyed && !x.server.Lease.Valid()
}

// hasTries reports whether the bound of tries allows another one.
func (x *exchange) hasTries() bool {
	return x.tries-x.spared < x.maxTries()
}

func (x *exchange) maxTries() int {
	if x.trial {
		return 1
	}
	return x.attempts() + extraTries
}

// attempts returns the number of targets that may run the request here. For a
// forwarded request, the sending entry VM sets how many of the route's attempts
// are left.
func (x *exchange) attempts() int {
	if x.trial {
		return 1
	}
	allowed := max(1, x.route.Attempts)
	if x.from == "" {
		return allowed
	}
	left, err := strconv.Atoi(x.header.Get(hopRuns))
	if err != nil {
		return 1
	}
	return min(max(1, left), allowed)
}

// mayTryAgain reports whether the request may be sent once more, as far as its route
// allows.
func (x *exchange) mayTryAgain(ctx context.Context, result outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	if x.runs > 0 && (!x.route.MayRepeat() || x.runs >= x.attempts()) {
		return false
	}
	if result == broken && !x.mayContinue() {
		return false
	}
	verdict := x.judge()
	return !verdict.Refused && !verdict.Suspect
}

// wasSent reports whether the request may have reached a target.
func (x *exchange) wasSent() bool {
	return x.tries > x.unsent
}

// takeRetry takes a retry from this VM's own budget if the request was sent before.
func (x *exchange) takeRetry(r place.Request) (allowed bool) {
	return !x.wasSent() || x.server.budget(r).Retry()
}

// giveUp ends the request without an answer of a further target: it refuses it,
// breaks off a begun answer, or delivers an earlier target's error answer. If another
// try of it still waits for its target, that one goes on.
func (x *exchange) giveUp(ctx context.Context, result outcome, reason string) {
	if !x.releaseAnswer() {
		x.server.Log.Debug("no further target takes the request; it stays at its silent one", "request", x.id, "reason", reason)
		return
	}
	if endedByStop(ctx) {
		reason = stoppingReason
	}
	switch {
	case x.caller.Context().Err() != nil:
		x.abandon(x.endKind(ctx), "caller has left", "reason", reason)
	case x.begun:
		x.abandon(x.endKind(ctx), "answer is broken off", "reason", reason, "last_event", x.last)
	case x.failure != nil:
		x.deliverBody(x.failure.response, x.failure.body)
	case x.runs > 0 && ctx.Err() == context.DeadlineExceeded:
		x.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "deadline", ended: x.endKind(ctx)})
	case x.runs > 0:
		x.refuse(&refusal{status: http.StatusBadGateway, reason: reason, ended: x.endKind(ctx)})
	default:
		x.refuse(&refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: x.retryAfter(), notRun: true})
	}
}

func (x *exchange) placement(now time.Time) place.Request {
	service, _ := x.state.Plan.Service(x.service)
	eventTokens := 0
	if x.route.Kind == plan.Stream {
		eventTokens = service.EventTokens
	}
	return place.Request{
		EventTokens: eventTokens, SameVersion: x.origin.known, Version: x.origin.Version.Version,
		Service: x.service, Demand: x.demand, Sticky: x.route.Sticky, Excluded: x.unusable(now), ColdRate: service.ColdPerSecond,
		Rank: x.placementRank(), Retry: x.wasSent(), Apart: x.trial, Memory: service.MemoryTokens, Fetch: service.Fetches, Evacuated: x.server.State.Read().Evacuated,
		PreferredBound: x.preferredBound(now), Bound: x.bound(now), Objective: x.route.Objective, Deadline: x.deadline, Now: now,
	}
}

// request returns the request as it is sent to a target or an entry VM of a region.
func (x *exchange) request(header http.Header, region string) upstream.Request {
	return upstream.Request{
		Method: x.caller.Method, URI: x.caller.RequestURI, Host: x.caller.Host, Header: header, Body: x.body,
		MaySend:    func() error { return x.checkSend(region) },
		EchoHeader: x.server.Headers.RequestID, EchoValue: x.id,
	}
}

// outgoing returns the headers that are passed on, with the time that is left
// now.
func (x *exchange) outgoing() http.Header {
	h := x.server.Headers
	header := endToEnd(x.header)
	for _, name := range h.Own {
		header.Del(name)
	}
	// Targets don't get the caller's key, and callers can't set the headers that
	// this system sets for targets.
	for _, name := range []string{keyHeader, h.Organisation, h.Target, h.FetchFrom, h.Rank} {
		header.Del(name)
	}
	deleteHops(header)
	if x.route.Kind == plan.Stream {
		header.Del("Accept-Encoding") // events are passed on one by one
	}
	left := max(1, time.Until(x.deadline).Milliseconds())
	header[h.TimeLeft] = []string{strconv.FormatInt(left, 10)}
	if x.begun && x.hasLast {
		header[h.LastEvent] = []string{strconv.FormatInt(x.last, 10)}
	}
	return header
}

// routePriorities is the number of priorities of routes that are told apart among requests
// of organisations with the same priority.
const routePriorities = 3

// rank returns the priority of the request at an engine: that of its organisation, if
// it has one, or else of its route. By rank, the route's tells apart requests with the
// same one.
func (x *exchange) rank() int {
	priority := x.route.Priority
	if x.organisation.HasPriority {
		priority = x.organisation.Priority
	}
	if x.server.ByRank {
		priority = routePriorities*priority + min(max(0, x.route.Priority), routePriorities-1)
	}
	return backlog.Clamp(priority)
}

// placementRank returns the rank by which the request is placed, 0 where all are placed
// alike.
func (x *exchange) placementRank() int {
	if !x.server.ByRank {
		return 0
	}
	return x.rank()
}

// targetHeader returns the headers for a target. source is the address of the target
// from which it fetches shared prompt parts, empty for none.
func (x *exchange) targetHeader(target, source string) http.Header {
	s := x.server
	header := x.outgoing()
	header[s.Headers.Target] = []string{target}
	if x.keyed {
		header[s.Headers.Organisation] = []string{x.organisation.Name}
	}
	if source != "" && s.Headers.FetchFrom != "" {
		header[s.Headers.FetchFrom] = []string{source}
		s.Metrics.Count("fetches")
	}
	if service, _ := x.state.Plan.Service(x.service); service.MemoryTokens > 0 && s.Headers.Rank != "" {
		header[s.Headers.Rank] = []string{strconv.Itoa(x.rank())}
	}
	return header
}
