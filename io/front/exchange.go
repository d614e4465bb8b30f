package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/io/upstream"
)

const (
	// boundShare is the part of its objective within which the answer to a
	// newcomer must be predicted to begin.
	boundShare = 0.95
	// comfortShare is the part of its objective within which a request stays at
	// the target that has read the shared parts of its prompt.
	comfortShare = 0.1
	// returnedShare is the part of its objective that a caller has waited before
	// this VM at least, when it comes back after a refusal.
	returnedShare = 4
	// returnedBound is the number of objectives within which the answer to one
	// that comes back must be predicted to begin.
	returnedBound = 2
	// hopReturn is the way of an answer between regions.
	hopReturn = 60 * time.Millisecond
	// afterDeadline keeps the patience with a target from ending just before the
	// request's own deadline.
	afterDeadline = time.Second
	// busyFor is how long a region that has refused a request isn't asked again.
	busyFor = 150 * time.Millisecond
	// extraTries is how many targets beyond the route's attempts may turn a
	// request down without running it.
	extraTries = 2
	// shortestTry is the least time that a target has to begin its answer before
	// a repeatable request is sent to another one.
	shortestTry = time.Second
	// hopHeadroom is the least time left that makes a way to another region
	// worthwhile.
	hopHeadroom = 250 * time.Millisecond
)

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
		visit, predicted, reason := x.place()
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
	if x.from != "" {
		return 1
	}
	return max(1, x.route.Attempts) + extraTries
}

// mayTryAgain decides whether a request may be sent once more.
func (x *exchange) mayTryAgain(ctx context.Context, result outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	if x.runs > 0 && (!x.route.MayRepeat() || x.runs >= max(1, x.route.Attempts)) {
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
		Memory: service.MemoryTokens, Evacuated: x.server.State.Read().Evacuated,
		Comfort: x.comfort(now), Bound: x.bound(now), Deadline: x.deadline, Now: now,
	}
}

// regions returns where the request may run.
func (x *exchange) regions() (homes []string, everywhere bool) {
	return plan.Regions(x.route.Homes, x.organisation.Homes)
}

func (x *exchange) atHome(region string) bool {
	homes, everywhere := x.regions()
	return everywhere || slices.Contains(homes, region)
}

// place chooses a target in this region. predicted is how long the best one
// would take, where none is chosen.
func (x *exchange) place() (visit *place.Visit, predicted time.Duration, reason place.Reason) {
	if !x.atHome(x.server.Region) {
		return nil, 0, "not_at_home"
	}
	return x.server.Placer.Pick(x.placement(time.Now()))
}

// elapsed is how long the caller has waited, earlier tries included: who comes
// back has less time left than the route allows.
func (x *exchange) elapsed(now time.Time) time.Duration {
	return max(0, x.route.Timeout-x.deadline.Sub(now))
}

// comfort is the time until an answer begins that leaves enough of the
// objective to the answer's way and to what can't be predicted.
func (x *exchange) comfort(now time.Time) time.Duration {
	return time.Duration(comfortShare*float64(x.route.Objective)) - x.elapsed(now)
}

// bound is the longest time until an answer begins that is worth while. A
// newcomer must be in time, so that a backlog doesn't make all late. One that
// comes back has waited already and goes before newcomers.
func (x *exchange) bound(now time.Time) time.Duration {
	waited := x.elapsed(now)
	left := x.deadline.Sub(now)
	inTime := time.Duration(boundShare*float64(x.route.Objective)) - waited
	if x.from != "" {
		inTime -= hopReturn
	}
	if waited > x.route.Objective/returnedShare {
		return max(1, min(left/2, returnedBound*x.route.Objective))
	}
	return max(1, inTime)
}

// neighbours returns entry VMs of other regions where the request may run, one
// for each region, the best region first.
func (x *exchange) neighbours() (vms []entry.VM) {
	if x.from != "" || time.Until(x.deadline) < hopHeadroom {
		return nil
	}
	known := *x.server.Entries.Load()
	for _, region := range x.server.Placer.Regions(x.placement(time.Now())) {
		if !x.atHome(region) {
			continue
		}
		var there []entry.VM
		for _, v := range known {
			if v.Region == region && v.Ready {
				there = append(there, v)
			}
		}
		if len(there) > 0 && (!x.atHome(x.server.Region) || !x.server.busy(region, x.service)) {
			vms = append(vms, there[rand.IntN(len(there))])
		}
	}
	return vms
}

// away hands the request to an entry VM of another region. It returns false
// where none took it.
func (x *exchange) away(ctx context.Context, result *outcome) bool {
	for _, v := range x.neighbours() {
		if *result = x.hop(ctx, v); *result == delivered {
			return true
		}
		if x.runs > 0 {
			break
		}
	}
	return false
}

func (x *exchange) hop(ctx context.Context, v entry.VM) outcome {
	x.server.Metrics.Away.Inc(1)
	x.target = "vm:" + v.ID
	header := x.outgoing()
	header.Set(hopFrom, x.server.Self)
	if key := x.header.Get("Authorization"); key != "" {
		header.Set("Authorization", key)
	}
	response, err := x.server.Peers.Do(ctx, v.ID, v.PeerAddress, x.request(header))
	if err != nil {
		return x.failed(err)
	}
	if reason := response.Header.Get(hopNotRun); reason != "" {
		_, err := response.ReadAll(maxAnswer)
		response.Finish(err == nil)
		x.server.markBusy(v.Region, x.service)
		x.server.Log.Info("entry VM has not run the request", "request", x.id, "vm", v.ID, "reason", reason)
		return notRun
	}
	x.runs++
	return x.deliver(response, nil, nil)
}

// request returns the request as it goes to a target or an entry VM.
func (x *exchange) request(header http.Header) upstream.Request {
	return upstream.Request{
		Method: x.caller.Method, URI: x.caller.RequestURI, Host: x.caller.Host, Header: header, Body: x.body,
		Echo: x.server.Headers.RequestID, EchoValue: x.id,
	}
}

// outgoing returns the headers that go on, with the time that is left now.
func (x *exchange) outgoing() http.Header {
	h := x.server.Headers
	header := endToEnd(x.header)
	for _, name := range h.Own {
		header.Del(name)
	}
	left := max(1, time.Until(x.deadline).Milliseconds())
	header[h.TimeLeft] = []string{strconv.FormatInt(left, 10)}
	if x.begun && x.hasLast {
		header[h.LastEvent] = []string{strconv.FormatInt(x.last, 10)}
	}
	return header
}

// failed maps an error of the connection to how the try ended.
func (x *exchange) failed(err error) outcome {
	var failure *upstream.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	x.server.Metrics.Count("tries.failed")
	x.server.Log.Warn("try has failed", "request", x.id, "target", x.target, "try", x.tries, "sent", sent, "error", err)
	if !sent {
		return notRun
	}
	x.runs++
	return mayHaveRun
}

// try sends the request to one target.
func (x *exchange) try(ctx context.Context, visit *place.Visit) outcome {
	s, t := x.server, visit.Target
	x.tries++
	x.target = t.ID
	x.excluded = append(x.excluded, t.ID)
	ok := false
	defer func() { visit.Done(ok, time.Now()) }()
	// The lease is checked again: waiting for room takes time.
	if x.keyed && !s.Lease.Valid() {
		return notRun
	}
	header := x.outgoing()
	header[s.Headers.Target] = []string{t.ID}
	if x.keyed {
		header[s.Headers.Organisation] = []string{x.organisation.Name}
	}
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := time.AfterFunc(x.patience(), func() {
		// Without a retry in hand, a slow answer is better than none.
		if s.budget(x.service).Available() {
			cancel(errSlow)
		}
	})
	defer patience.Stop()
	response, err := s.Targets.Do(bounded, t.ID, t.Address, x.request(header))
	if err != nil {
		if x.caller.Context().Err() == nil {
			t.Circuit.Failed()
		} else {
			t.Circuit.Released()
		}
		return x.failed(err)
	}
	if response.Header.Get(s.Headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		_, err := response.ReadAll(maxAnswer)
		response.Finish(err == nil)
		t.Circuit.Released()
		s.Log.Info("target has not run the request", "request", x.id, "target", t.ID, "status", response.StatusCode)
		return notRun
	}
	x.runs++
	if response.StatusCode >= http.StatusInternalServerError && x.couldRepeat() {
		body, err := response.ReadAll(maxAnswer)
		response.Finish(err == nil)
		if err == nil {
			x.failure = &failedAnswer{response: response, body: body}
		}
		t.Circuit.Released()
		s.Log.Warn("target has failed the request", "request", x.id, "target", t.ID, "status", response.StatusCode)
		return mayHaveRun
	}
	result := x.deliver(response, visit, patience)
	ok = result == delivered && response.StatusCode < http.StatusInternalServerError
	switch {
	case result == delivered:
		t.Circuit.Succeeded()
	case x.caller.Context().Err() != nil:
		t.Circuit.Released()
	default:
		t.Circuit.Failed()
	}
	return result
}

// patience is how long a target may take to begin its answer.
func (x *exchange) patience() time.Duration {
	left := time.Until(x.deadline)
	if !x.couldRepeatAfter(x.runs + 1) {
		return left + afterDeadline
	}
	return min(left+afterDeadline, max(shortestTry, x.route.Objective*3/2))
}

func (x *exchange) couldRepeat() bool {
	return x.couldRepeatAfter(x.runs)
}

// couldRepeatAfter tells whether the route allows another run after some.
func (x *exchange) couldRepeatAfter(runs int) bool {
	return x.from == "" && x.route.MayRepeat() && runs < max(1, x.route.Attempts) && x.tries < x.mostTries()
}
