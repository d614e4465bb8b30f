// Package dispatch runs a request: it chooses a target here or a VM of another
// data centre, tries again where that is allowed, resumes broken streams and
// finds requests that crash targets.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"kingcuprill/core/board"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/residency"
	"kingcuprill/core/retry"
	"kingcuprill/core/route"
	"kingcuprill/core/target"
	"kingcuprill/io/engine"
	"kingcuprill/io/forward"
	"kingcuprill/io/metrics"
	"kingcuprill/io/service"
	"kingcuprill/io/settings"
)

const (
	maxAttempts = 6
	// maxAttemptsForwarded is the same at a VM that a request has crossed to:
	// its entry VM tries elsewhere.
	maxAttemptsForwarded = 2
	pauseNoTarget        = 100 * time.Millisecond
	waitForTarget        = 3 * time.Second // for a target to come back before a refusal
)

// Dispatcher runs requests.
type Dispatcher struct {
	Board   *board.Board
	Engine  *engine.Client
	Service *service.Client
	Forward *forward.Client
	Policy  settings.Policy
	Metrics *metrics.Metrics
	Log     *slog.Logger
	// Struck tells other VMs of a request that was in flight at a crash.
	Struck func(fingerprint, boot string, refused bool)

	budgets sync.Map // route name to *retry.Budget
	turns   route.RoundRobin
}

func (d *Dispatcher) budget(name string) *retry.Budget {
	if found, ok := d.budgets.Load(name); ok {
		return found.(*retry.Budget)
	}
	made, _ := d.budgets.LoadOrStore(name, &retry.Budget{})
	return made.(*retry.Budget)
}

// run is the state of one request over its attempts.
type run struct {
	d         *Dispatcher
	request   exchange.Request
	wanted    route.Request
	suspect   bool
	attempt   int
	mayHaveIt bool // some target may have run it
}

// Fingerprint identifies the content of a request, so that its resends are
// known.
func Fingerprint(request exchange.Request) string {
	if g := request.Generation; g != nil {
		return quarantine.Fingerprint(request.Organisation, request.Route.Name, g.Model+"\x00"+g.Prompt)
	}
	return quarantine.Fingerprint(request.Organisation, request.Route.Name, request.Call.Method+request.Call.URL+"\x00"+string(request.Call.Body))
}

func (d *Dispatcher) newRun(request exchange.Request, suspect bool) *run {
	r := &run{d: d, request: request, suspect: suspect}
	r.wanted = route.Request{
		Service:   request.Route.Service,
		Permitted: residency.Of(d.Board.Catalogue.Read(), request.Organisation, request.Route.Name),
	}
	if g := request.Generation; g != nil {
		r.wanted.Model = g.Model
		r.wanted.Prefixes = target.PrefixHashes(g.Model, g.Prompt)
		r.wanted.Bytes = len(g.Prompt)
	}
	if r.request.Fingerprint == "" {
		r.request.Fingerprint = Fingerprint(request)
	}
	r.suspect = suspect || d.Board.Quarantine.IsSuspect(r.request.Fingerprint)
	d.budget(request.Route.Name).Request()
	return r
}

// Generate runs a generation to its end and hands each token on once, in
// order, over all attempts.
func (d *Dispatcher) Generate(ctx context.Context, request exchange.Request, suspect bool, sink func(exchange.Token) error) (usage exchange.Usage, err error) {
	r := d.newRun(request, suspect)
	var text strings.Builder
	text.WriteString(request.Generation.ResumeText)
	next := request.Generation.ResumeFrom
	keep := func(t exchange.Token) error {
		next++
		text.WriteString(t.Text)
		return sink(t)
	}
	for {
		generation := *request.Generation
		generation.ResumeFrom, generation.ResumeText = next, text.String()
		r.request.Generation = &generation
		place, err := r.place(ctx)
		if err != nil {
			return usage, r.failure(err)
		}
		usage, err = r.generateAt(ctx, place, keep)
		if err == nil {
			d.Board.Quarantine.Clear(r.request.Fingerprint)
			return usage, nil
		}
		if !r.again(ctx, place, err) {
			return usage, r.failure(r.quarantined(err))
		}
	}
}

// Call runs a call to a plain service. A call that may not be repeated is
// tried again only while it is certain that it did not run.
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
		if !r.again(ctx, place, err) {
			return answer, r.failure(err)
		}
	}
}

// quarantined names the quarantine as the cause where it ended the attempts.
func (r *run) quarantined(err error) error {
	if r.d.Board.Quarantine.Refused(r.request.Fingerprint) {
		return fault.New(fault.Quarantined, "the request is refused from now on: targets have crashed each time they ran it")
	}
	return err
}

// failure states truly whether the request may have run.
func (r *run) failure(err error) error {
	if r.request.Generation != nil && r.request.Generation.ResumeFrom > 0 {
		r.mayHaveIt = true
	}
	return &exchange.Failure{NotRun: !r.mayHaveIt, Final: exchange.Final(err), Err: err}
}

func (r *run) exchangeID() string {
	return fmt.Sprintf("%s.%s.%d", r.request.ID, r.d.Board.Self, r.attempt)
}

func (r *run) generateAt(ctx context.Context, p place, sink func(exchange.Token) error) (usage exchange.Usage, err error) {
	r.attempt++
	if p.row == nil {
		request := r.request
		usage, err = r.d.Forward.Generate(ctx, p.vm, request, r.suspect, sink)
		r.noteAway(p, err)
		return usage, err
	}
	live := p.row.Live
	live.InFlight.Add(1)
	defer live.InFlight.Add(-1)
	if r.isolated() {
		defer live.ReleaseSuspect() // r.choose has taken it
	}
	live.Prefixes.Add(r.wanted.Prefixes...)
	job := engine.Job{ExchangeID: r.exchangeID(), Priority: r.request.Route.Priority, Generation: *r.request.Generation}
	if r.request.Route.SendOrganisation {
		job.Organisation = r.request.Organisation
	}
	usage, err = r.d.Engine.Generate(ctx, p.row, job, sink)
	r.noteLocal(ctx, p.row, err)
	return usage, err
}

func (r *run) callAt(ctx context.Context, p place) (answer exchange.Answer, err error) {
	r.attempt++
	if p.row == nil {
		answer, err = r.d.Forward.Call(ctx, p.vm, r.request)
		r.noteAway(p, err)
		return answer, err
	}
	p.row.Live.InFlight.Add(1)
	defer p.row.Live.InFlight.Add(-1)
	organisation := ""
	if r.request.Route.SendOrganisation {
		organisation = r.request.Organisation
	}
	answer, err = r.d.Service.Do(ctx, p.row, r.exchangeID(), organisation, *r.request.Call)
	r.noteLocal(ctx, p.row, err)
	return answer, err
}

// noteLocal records what an attempt told about a target.
func (r *run) noteLocal(ctx context.Context, row *target.Target, err error) {
	switch {
	case err == nil:
		row.Live.Circuit.Succeeded()
	case ctx.Err() != nil || exchange.Final(err):
		row.Live.Circuit.Released()
	default:
		row.Live.Circuit.Failed()
	}
	r.mayHaveIt = r.mayHaveIt || (err != nil && !exchange.NotRun(err))
	if err != nil && ctx.Err() == nil && !exchange.NotRun(err) && !exchange.Final(err) && r.request.Generation != nil {
		r.checkCrash(ctx, row)
	}
}

func (r *run) noteAway(p place, err error) {
	if p.vm.Region != r.d.Board.Region {
		r.d.Metrics.Away.Inc(1)
	}
	r.mayHaveIt = r.mayHaveIt || (err != nil && !exchange.NotRun(err))
}

// checkCrash finds out over a fresh connection whether the target has crashed
// under the request.
func (r *run) checkCrash(ctx context.Context, row *target.Target) {
	health := r.d.Engine.Health(ctx, row.Address)
	if health.Reached && health.BootID == row.BootID {
		return
	}
	boot := row.ID + "/" + row.BootID
	refused := r.d.Board.Quarantine.RecordCrash(r.request.Fingerprint, boot)
	r.suspect = true
	r.d.Log.Warn("a target crashed under a request", "request_id", r.request.ID, "target", row.ID, "fingerprint", r.request.Fingerprint, "quarantined", refused)
	r.d.Struck(r.request.Fingerprint, boot, refused)
}

// again decides whether another attempt is made after a failure.
func (r *run) again(ctx context.Context, p place, err error) bool {
	if ctx.Err() != nil || exchange.Final(err) || r.attempt >= r.mostAttempts() {
		return false
	}
	r.suspect = r.suspect || r.d.Board.Quarantine.IsSuspect(r.request.Fingerprint)
	if !r.request.Route.Repeatable && r.mayHaveIt {
		return false
	}
	if r.d.Board.Quarantine.Refused(r.request.Fingerprint) {
		return false
	}
	if !r.d.budget(r.request.Route.Name).Retry() {
		return false
	}
	r.wanted.Avoid = append(r.wanted.Avoid, p.id())
	r.d.Metrics.Retries.Inc(1)
	r.d.Log.Info("an attempt failed and is made again", "request_id", r.request.ID, "place", p.id(), "attempt", r.attempt, "error", err)
	return true
}

func (r *run) mostAttempts() int {
	if r.request.Path.MayForward() {
		return maxAttempts
	}
	return maxAttemptsForwarded
}

var errNoTarget = errors.New("no target serves the route where the request may run")

// place waits for a place where the request may run.
func (r *run) place(ctx context.Context) (p place, err error) {
	if r.d.Board.Quarantine.Refused(r.request.Fingerprint) {
		return p, fault.New(fault.Quarantined, "the request is refused: targets have crashed each time they ran it")
	}
	deadline := time.Now().Add(waitForTarget)
	for {
		p, found, err := r.choose(time.Now())
		if err != nil || found {
			return p, err
		}
		if len(r.wanted.Avoid) > 0 {
			r.wanted.Avoid = nil // a place that failed is better than none
			continue
		}
		if time.Now().After(deadline) {
			return p, fault.New(fault.NoTarget, "%v (route %q)", errNoTarget, r.request.Route.Name)
		}
		select {
		case <-time.After(pauseNoTarget):
		case <-ctx.Done():
			return p, fault.New(fault.Deadline, "no target was free before the deadline (route %q)", r.request.Route.Name)
		}
	}
}
