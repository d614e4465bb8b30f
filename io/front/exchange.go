package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/io/upstream"
)

const (
	// extraTries is how many targets beyond the route's attempts may turn a
	// request down without running it.
	extraTries = 2
)

var errNoCoordinator = errors.New("the coordinator of the target can't be asked")

var errSlow = errors.New("the target has not answered in time")

// exchange is one request of a caller on its way.
type exchange struct {
	server  *Server
	writer  http.ResponseWriter
	caller  *http.Request
	arrived time.Time
	id      string
	from    string // entry VM that has handed the request over, empty for callers

	state        *State
	header       http.Header
	route        plan.Route
	organisation plan.Organisation
	keyed        bool
	service      string
	demand       place.Demand
	cost         float64 // tokens charged
	deadline     time.Time
	body         []byte

	predicted time.Duration // from the last look for a target to the begin of its answer
	first     time.Duration // from the arrival to the begin of the answer

	tries    int // sends to targets
	runs     int // of these, those that may have run
	excluded []string
	target   string // the last one
	begun    bool   // bytes of an answer have gone to the caller
	last     int64  // id of the last event delivered
	hasLast  bool
	failure  *failedAnswer // of a target, in case that no other does better
}

// failedAnswer is a whole answer that tells of a failure.
type failedAnswer struct {
	response *upstream.Response
	body     []byte
}

// outcome tells how a try ended.
type outcome uint8

const (
	delivered outcome = iota // the caller has the whole answer, or has left
	notRun
	mayHaveRun
	broken // the answer broke off after parts of it were delivered
)

// dispatch sends the request to targets until the caller has an answer.
func (x *exchange) dispatch(ctx context.Context) {
	s := x.server
	s.budget(x.service).Request()
	result := notRun
	for x.tries < x.mostTries() {
		if x.tries > 0 && !x.mayTryAgain(ctx, result) {
			break
		}
		visit, predicted, reason := x.place(ctx)
		x.predicted = predicted
		if visit == nil {
			if x.away(ctx, &result) {
				return
			}
			x.giveUp(ctx, result, string(reason))
			return
		}
		result = x.try(ctx, visit)
		if result == delivered {
			return
		}
	}
	x.giveUp(ctx, result, "tries_used_up")
}

func (x *exchange) mostTries() int {
	return x.attempts() + extraTries
}

// attempts is the number of targets that may run the request here. An entry VM
// that hands a request over tells how many are left of the route's.
func (x *exchange) attempts() int {
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

// mayTryAgain decides whether a request may be sent once more.
func (x *exchange) mayTryAgain(ctx context.Context, result outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	if x.runs > 0 && (!x.route.MayRepeat() || x.runs >= x.attempts()) {
		return false
	}
	if result == broken && !x.hasLast {
		return false
	}
	if !x.server.budget(x.service).Retry() {
		x.server.Log.Warn("no retry budget is left", "request", x.id, "service", x.service)
		return false
	}
	x.server.Metrics.Retries.Inc(1)
	return true
}

// giveUp tells the caller that there will be no answer of a target.
func (x *exchange) giveUp(ctx context.Context, result outcome, reason string) {
	switch {
	case x.caller.Context().Err() != nil:
		x.log("caller has left", "reason", reason)
	case x.begun:
		x.log("answer is broken off", "reason", reason, "last_event", x.last)
		panic(http.ErrAbortHandler)
	case x.failure != nil:
		x.deliverBody(x.failure.response, x.failure.body)
	case x.runs > 0 && ctx.Err() != nil:
		x.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "deadline"})
	case x.runs > 0:
		x.refuse(&refusal{status: http.StatusBadGateway, reason: reason})
	default:
		x.refuse(&refusal{status: http.StatusServiceUnavailable, reason: reason, after: x.returnAfter(), notRun: true})
	}
}

func (x *exchange) placement(now time.Time) place.Request {
	service, _ := x.state.Plan.Service(x.service)
	eventTokens := 0
	if x.route.Kind == plan.Stream {
		eventTokens = service.EventTokens
	}
	return place.Request{
		EventTokens: eventTokens,
		Service:     x.service, Demand: x.demand, Sticky: x.route.Sticky, Excluded: x.excluded, ColdRate: service.ColdPerSecond,
		Memory: service.MemoryTokens, Fetch: service.Fetches, Evacuated: x.server.State.Read().Evacuated,
		PreferredBound: x.comfort(now), Bound: x.bound(now), Deadline: x.deadline, Now: now,
	}
}

// request returns the request as it goes to a target or an entry VM.
func (x *exchange) request(header http.Header) upstream.Request {
	return upstream.Request{
		Method: x.caller.Method, URI: x.caller.RequestURI, Host: x.caller.Host, Header: header, Body: x.body,
		EchoHeader: x.server.Headers.RequestID, EchoValue: x.id,
	}
}

// outgoing returns the headers that go on, with the time that is left now.
func (x *exchange) outgoing() http.Header {
	h := x.server.Headers
	header := endToEnd(x.header)
	for _, name := range h.Own {
		header.Del(name)
	}
	// The caller's key stays here, and what this system tells targets is never
	// the caller's word.
	for _, name := range []string{keyHeader, h.Organisation, h.Target, h.FetchFrom, hopFrom, hopRuns} {
		header.Del(name)
	}
	left := max(1, time.Until(x.deadline).Milliseconds())
	header[h.TimeLeft] = []string{strconv.FormatInt(left, 10)}
	if x.begun && x.hasLast {
		header[h.LastEvent] = []string{strconv.FormatInt(x.last, 10)}
	}
	return header
}

// failed maps an error of the connection to how the try ended, which may have
// been some runs.
func (x *exchange) failed(err error, runs int) outcome {
	var failure *upstream.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	x.server.Metrics.Count("tries.failed")
	x.server.Log.Warn("try has failed", "request", x.id, "target", x.target, "try", x.tries, "sent", sent, "error", err)
	if !sent {
		return notRun
	}
	x.runs += runs
	return mayHaveRun
}

// keepFailure reads an answer that tells of a failure, in case that no other try
// does better.
func (x *exchange) keepFailure(response *upstream.Response) outcome {
	body, err := response.ReadAll(maxAnswer)
	response.Finish(err == nil)
	if err == nil {
		x.failure = &failedAnswer{response: response, body: body}
	}
	x.server.Log.Warn("target has failed the request", "request", x.id, "target", x.target, "status", response.StatusCode)
	return mayHaveRun
}

// impatient returns a context that ends when a try takes too long, and the timer
// that decides it.
func (x *exchange) impatient(ctx context.Context, patience time.Duration) (bounded context.Context, timer *time.Timer, cancel func()) {
	bounded, end := context.WithCancelCause(ctx)
	timer = time.AfterFunc(patience, func() {
		// Without a retry in hand, a slow answer is better than none.
		if x.server.budget(x.service).Available() {
			end(errSlow)
		}
	})
	return bounded, timer, func() {
		timer.Stop()
		end(nil)
	}
}

// try sends the request to one target.
func (x *exchange) try(ctx context.Context, visit stay) outcome {
	s := x.server
	target, address := visit.Where()
	x.tries++
	x.target = target
	x.excluded = append(x.excluded, target)
	told := place.Inconclusive
	defer func() { visit.Done(told, time.Now()) }()
	// The lease is checked again: waiting for room takes time.
	if x.keyed && !s.Lease.Valid() {
		return notRun
	}
	header := x.outgoing()
	header[s.Headers.Target] = []string{target}
	if x.keyed {
		header[s.Headers.Organisation] = []string{x.organisation.Name}
	}
	if source := visit.Source(); source != "" && s.Headers.FetchFrom != "" {
		header[s.Headers.FetchFrom] = []string{source}
		s.Metrics.Count("fetches")
	}
	bounded, patience, cancel := x.impatient(ctx, x.patience())
	defer cancel()
	response, err := s.Targets.Do(bounded, target, address, x.request(header))
	if err != nil {
		if x.caller.Context().Err() == nil {
			told = place.Failure
		}
		return x.failed(err, 1)
	}
	if response.Header.Get(s.Headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		_, err := response.ReadAll(maxAnswer)
		response.Finish(err == nil)
		if response.StatusCode == http.StatusMisdirectedRequest {
			told = place.Displaced
			s.Placer.MarkDisplaced(target, time.Now())
		}
		s.Log.Info("target has not run the request", "request", x.id, "target", target, "status", response.StatusCode)
		return notRun
	}
	x.runs++
	if response.StatusCode >= http.StatusInternalServerError && x.couldRepeat() {
		return x.keepFailure(response)
	}
	result := x.deliver(response, visit, patience)
	switch {
	case result == delivered:
		told = place.Success
	case x.caller.Context().Err() == nil:
		told = place.Failure
	}
	return result
}
