// Package dispatch runs a request at a target of the VM's own data centre, or
// forwards it to a VM of another data centre.
//
// A failed attempt is retried within bounds: the number of attempts, the retry
// budget of the route and the deadline. A request of a route that isn't repeatable
// is retried only while it is certain that no target has run it. Generations that
// break off are resumed after the last token that was delivered. A request that a
// target was about to answer when it crashed is a suspect: a VM runs at most one
// suspect at a time at each target (see core/quarantine).
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/residency"
	"kingcuprill/core/retry"
	"kingcuprill/core/route"
	"kingcuprill/core/target"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/engine"
	"kingcuprill/io/forward"
	"kingcuprill/io/metrics"
	"kingcuprill/io/service"
	"kingcuprill/io/settings"
)

const (
	maxAttempts = 6
	// maxAttemptsForwarded is the bound at a VM that may not forward the request
	// further: the VM that forwarded it can try elsewhere.
	maxAttemptsForwarded = 2
	targetPollInterval   = 100 * time.Millisecond
	waitForTarget        = 3 * time.Second // until a request without an available target is refused
)

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	VMState *vmstate.State
	Engine  *engine.Client
	Service *service.Client
	Forward *forward.Client
	Policy  settings.Policy
	Metrics *metrics.Metrics
	Log     *slog.Logger

	budgets    sync.Map // route name to *retry.Budget
	roundRobin route.RoundRobin
}

func (d *Dispatcher) budget(name string) *retry.Budget {
	if found, ok := d.budgets.Load(name); ok {
		return found.(*retry.Budget)
	}
	created, _ := d.budgets.LoadOrStore(name, &retry.Budget{})
	return created.(*retry.Budget)
}

// run is the state of one request over all its attempts.
type run struct {
	d          *Dispatcher
	request    exchange.Request
	routing    route.Request
	attempt    int
	mayHaveRun bool // a target may have run the request

	identity quarantine.Request
	suspect  bool     // a target has crashed that was about to answer the request or one like it
	suspects []string // its suspect parts
	reported bool     // the VM that forwarded the request takes it for suspect
	onTrial  []string // parts that its trial has reserved, nil without a trial
	followed followed // of the last attempt here
}

func (d *Dispatcher) newRun(request exchange.Request, suspect bool) *run {
	r := &run{d: d, request: request}
	r.routing = route.Request{Service: request.Route.Service, Permitted: r.permitted()}
	if g := request.Generation; g != nil {
		r.routing.Model = g.Model
		r.routing.Prefixes = target.PrefixHashes(g.Model, g.Prompt)
		r.routing.Bytes = len(g.Prompt)
	}
	r.identity, r.reported = Identity(request), suspect
	r.judge()
	d.budget(request.Route.Name).Request()
	return r
}

// permitted returns the regions that the newest residency rules allow.
func (r *run) permitted() residency.Permitted {
	return residency.Of(r.d.VMState.Catalogue.Read(), r.request.Organisation, r.request.Route.Name)
}

// Generate runs a generation to its end and passes each token to sink once and in
// order, over all attempts. The error is an *exchange.Failure.
func (d *Dispatcher) Generate(ctx context.Context, request exchange.Request, suspect bool, sink func(exchange.Token) error) (usage exchange.Usage, err error) {
	r := d.newRun(request, suspect)
	return r.generate(ctx, newOutput(r, *request.Generation, sink))
}

// generate makes attempts until one has ended the generation or no further one is
// allowed.
func (r *run) generate(ctx context.Context, out *output) (usage exchange.Usage, err error) {
	for {
		left := out.left()
		r.request.Generation = &left
		r.routing.SameVersion, r.routing.Version = left.SameVersion, left.Version
		place, err := r.place(ctx)
		if err != nil {
			return usage, r.failure(err)
		}
		usage, err = r.generateAt(ctx, place, out)
		if err == nil {
			r.recordSuccess()
			return usage, nil
		}
		if !r.mayRetry(ctx, place, err) {
			return usage, r.failure(r.quarantined(err))
		}
	}
}

// Call runs a call to a plain service. A call that may not be repeated is retried
// only while it is certain that it has not run. The error is an *exchange.Failure.
func (d *Dispatcher) Call(ctx context.Context, request exchange.Request) (answer exchange.Answer, err error) {
	r := d.newRun(request, false)
	for {
		place, err := r.place(ctx)
		if err != nil {
			return answer, r.failure(err)
		}
		answer, err = r.callAt(ctx, place)
		if err == nil {
			return answer, nil
		}
		if !r.mayRetry(ctx, place, err) {
			return answer, r.failure(err)
		}
	}
}

// quarantined replaces err by one that names the quarantine if the request has
// been quarantined.
func (r *run) quarantined(err error) error {
	if r.judge() {
		return ErrQuarantined
	}
	return err
}

// failure wraps err with the information whether the request may have run. A
// generation that is resumed has run already.
func (r *run) failure(err error) error {
	if r.request.Generation != nil && r.request.Generation.ResumeFrom > 0 {
		r.mayHaveRun = true
	}
	return &exchange.Failure{NotRun: !r.mayHaveRun, Final: exchange.Final(err), Err: err}
}

func (r *run) attemptID() string {
	return fmt.Sprintf("%s.%s.%d", r.request.ID, r.d.VMState.Self, r.attempt)
}

// generateAt makes one attempt.
func (r *run) generateAt(ctx context.Context, p place, out *output) (usage exchange.Usage, err error) {
	r.attempt++
	if p.target != nil {
		return r.generateLocally(ctx, p, out)
	}
	usage, err = r.d.Forward.Generate(ctx, p.vm, r.request, r.suspect, out.writer(r))
	if err == nil && !out.finish(r) {
		err = &exchange.Failure{Err: errOvertaken}
	}
	r.recordForwarded(p, err)
	return usage, err
}

// job returns the job of the current attempt.
func (r *run) job(t *target.Target, onSilence func()) engine.Job {
	sent := time.Now()
	job := engine.Job{
		ExchangeID: r.attemptID(), Priority: r.request.Route.Priority, Generation: *r.request.Generation,
		OnHead: func(header http.Header) { r.noteLimit(t, header, sent) }, OnSilence: onSilence,
	}
	if r.request.Route.SendOrganisation {
		job.Organisation = r.request.Organisation
	}
	return job
}

func (r *run) callAt(ctx context.Context, p place) (answer exchange.Answer, err error) {
	r.attempt++
	if p.target == nil {
		answer, err = r.d.Forward.Call(ctx, p.vm, r.request)
		r.recordForwarded(p, err)
		return answer, err
	}
	p.target.Live.InFlight.Add(1)
	defer p.target.Live.InFlight.Add(-1)
	organisation := ""
	if r.request.Route.SendOrganisation {
		organisation = r.request.Organisation
	}
	sent := time.Now()
	answer, err = r.d.Service.Do(ctx, p.target, r.attemptID(), organisation, *r.request.Call, func(header http.Header) { r.noteLimit(p.target, header, sent) })
	r.recordLocal(ctx, p.target, err)
	return answer, err
}

// recordLocal records the result of an attempt at a target of this data centre.
func (r *run) recordLocal(ctx context.Context, t *target.Target, err error) {
	switch {
	case err == nil:
		t.Live.Circuit.Succeeded()
	case ctx.Err() != nil || exchange.Final(err):
		t.Live.Circuit.Released()
	default:
		t.Live.Circuit.Failed()
	}
	r.mayHaveRun = r.mayHaveRun || (err != nil && !exchange.NotRun(err))
	if err != nil && ctx.Err() == nil && !exchange.NotRun(err) && !exchange.Final(err) && r.request.Generation != nil {
		r.checkCrash(ctx, t)
	}
}

func (r *run) recordForwarded(p place, err error) {
	if p.vm.Region != r.d.VMState.Region {
		r.d.Metrics.Away.Inc(1)
	}
	r.mayHaveRun = r.mayHaveRun || (err != nil && !exchange.NotRun(err))
}

// mayRetry reports whether another attempt is made after a failure. It takes the
// retry from the budget.
func (r *run) mayRetry(ctx context.Context, p place, err error) bool {
	if exchange.Final(err) || !r.mayAttempt(ctx) {
		return false
	}
	r.routing.Avoid = append(r.routing.Avoid, p.id())
	r.d.Metrics.Retries.Inc(1)
	r.d.Log.Info("attempt has failed; the request is retried", "request_id", r.request.ID, "place", p.id(), "attempt", r.attempt, "error", err)
	return true
}

// mayAttempt reports whether the bounds allow another attempt, and takes it from the
// retry budget.
func (r *run) mayAttempt(ctx context.Context) bool {
	if ctx.Err() != nil || r.attempt >= r.attemptLimit() {
		return false
	}
	refused := r.judge()
	if !r.request.Route.Repeatable && r.mayHaveRun {
		return false
	}
	return !refused && r.d.budget(r.request.Route.Name).Retry()
}

func (r *run) attemptLimit() int {
	if r.request.Path.MayForward() {
		return maxAttempts
	}
	return maxAttemptsForwarded
}

var errNoTarget = errors.New("no target serves the route where the request may run")

// outlastsStop reports whether the request has not run and may still run when this VM
// ends. A generation leaves no trace at an engine, so that its caller may send it again.
func (r *run) outlastsStop(now time.Time) bool {
	if r.mayHaveRun || (r.request.Generation != nil && r.request.Generation.ResumeFrom > 0) {
		return false
	}
	repeatable := r.request.Route.Repeatable || r.request.Generation != nil || r.request.Call.Method == http.MethodGet
	return !r.d.VMState.Stop.Takes(now, r.request.Deadline, repeatable)
}

// place chooses where the request runs, and waits a bounded time for a target if
// none is available.
func (r *run) place(ctx context.Context) (p place, err error) {
	if r.judge() {
		return p, ErrQuarantined
	}
	deadline := time.Now().Add(waitForTarget)
	for {
		if r.outlastsStop(time.Now()) {
			return p, fault.New(fault.Overloaded, "VM %s is stopping and may not see the end of the request", r.d.VMState.Self)
		}
		p, found, err := r.choose(time.Now())
		if err != nil || found {
			return p, err
		}
		if len(r.routing.Avoid) > 0 {
			r.routing.Avoid = nil // retry at a place that has failed rather than refuse
			continue
		}
		if time.Now().After(deadline) || r.versionGone(time.Now()) {
			return p, fault.New(fault.NoTarget, "%v (route %q)", errNoTarget, r.request.Route.Name)
		}
		select {
		case <-time.After(targetPollInterval):
		case <-ctx.Done():
			return p, fault.New(fault.Deadline, "no target was free before the deadline (route %q)", r.request.Route.Name)
		}
	}
}
