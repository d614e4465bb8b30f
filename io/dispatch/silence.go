package dispatch

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"kingcuprill/core/exchange"
)

// errOvertaken is the error of an attempt at a silent engine after another run has
// brought the next token.
var errOvertaken = errors.New("another engine has gone on with the generation")

// output is the answer of a generation so far. Two runs compete for the next token while
// the engine of the first one is silent; the one that brings it goes on alone.
type output struct {
	mu         sync.Mutex
	generation exchange.Generation // with the tokens so far
	text       strings.Builder
	sink       func(exchange.Token) error
	leader     *run // whose tokens are taken, nil while two compete
	rivals     map[*run]context.CancelFunc
}

func newOutput(leader *run, g exchange.Generation, sink func(exchange.Token) error) *output {
	o := &output{generation: g, sink: sink, leader: leader}
	o.text.WriteString(g.ResumeText)
	return o
}

// left returns the part of the generation that has not been delivered yet.
func (o *output) left() exchange.Generation {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.generation
	g.ResumeText = o.text.String()
	return g
}

// writer returns the sink for the tokens of a run.
func (o *output) writer(r *run) func(exchange.Token) error {
	return func(t exchange.Token) error {
		o.mu.Lock()
		defer o.mu.Unlock()
		if t.Index != o.generation.ResumeFrom || !o.claim(r) {
			return errOvertaken // another run has brought this token
		}
		if !o.generation.SameVersion {
			o.generation.SameVersion, o.generation.Version = true, t.Version
		}
		o.generation.ResumeFrom++
		o.text.WriteString(t.Text)
		return o.sink(t)
	}
}

// claim makes a run the leader if there is none, and ends the other. It reports whether
// the run leads.
func (o *output) claim(r *run) (leads bool) {
	if o.leader != nil {
		return o.leader == r
	}
	o.leader = r
	for other, cancel := range o.rivals {
		if other != r {
			cancel()
		}
	}
	return true
}

// finish claims the answer for a run whose target has sent the end of it.
func (o *output) finish(r *run) (leads bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claim(r)
}

// leads reports whether the tokens of a run are taken, and no other's.
func (o *output) leads(r *run) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leader == r
}

// open lets two runs compete.
func (o *output) open(rivals map[*run]context.CancelFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leader, o.rivals = nil, rivals
}

// handOver makes a run the leader after a competition has ended.
func (o *output) handOver(r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leader, o.rivals = r, nil
}

// ended is how an attempt or a run has ended.
type ended struct {
	usage    exchange.Usage
	followed followed
	err      error
}

// attempt is an attempt at an engine of this data centre, and the run beside it.
type attempt struct {
	run    *run
	out    *output
	place  place
	cancel context.CancelFunc
	silent chan struct{}
	done   chan ended

	second     *run // nil if there was none
	secondDone chan ended
}

// generateLocally makes an attempt at an engine of this data centre. While the engine is
// silent, another run makes attempts beside it.
func (r *run) generateLocally(ctx context.Context, p place, out *output) (usage exchange.Usage, err error) {
	a := &attempt{run: r, out: out, place: p, silent: make(chan struct{}, 1), done: make(chan ended, 1)}
	a.start(ctx)
	defer a.cancel()
	last := a.wait(ctx)
	if a.second != nil {
		out.handOver(r)
	}
	r.followed = last.followed
	return last.usage, last.err
}

// start sends the job.
func (a *attempt) start(ctx context.Context) {
	ctx, a.cancel = context.WithCancel(ctx)
	t, r := a.place.target, a.run
	job := r.job(t, a.reportSilence)
	ofVersion := a.out.writer(r)
	t.Live.InFlight.Add(1)
	t.Live.Prefixes.Add(r.routing.Prefixes...)
	go func() {
		defer t.Live.InFlight.Add(-1)
		var e ended
		e.usage, e.err = r.d.Engine.Generate(ctx, t, job, r.followTokens(&e.followed, func(token exchange.Token) error {
			token.Version = t.Version
			return ofVersion(token)
		}))
		a.done <- e
	}()
}

func (a *attempt) reportSilence() {
	select {
	case a.silent <- struct{}{}:
	default: // it is known
	}
}

// wait returns how the attempt has ended, or the run that went on in its place.
func (a *attempt) wait(ctx context.Context) (last ended) {
	for first, second := true, false; first || second; {
		select {
		case <-a.silent:
			second = second || first && a.startSecond(ctx)
		case e := <-a.done:
			first = false
			a.record(ctx, &e)
			if e.err == nil || a.second == nil || !a.out.leads(a.second) {
				last = e
			}
		case e := <-a.secondDone:
			second = false
			a.run.adopt(a.second)
			if a.out.leads(a.second) {
				last = e
			} else {
				a.out.handOver(a.run)
			}
		}
	}
	return last
}

// record notes the result of the attempt.
func (a *attempt) record(ctx context.Context, e *ended) {
	r, t := a.run, a.place.target
	defer r.endTrial(t.Live) // begun by r.choose, if the request is suspect
	r.followed = e.followed
	if e.err == nil && !a.out.finish(r) {
		e.err = &exchange.Failure{Err: errOvertaken}
	}
	if a.second != nil && a.out.leads(a.second) {
		t.Live.Circuit.Failed()
		r.mayHaveRun = true
		return
	}
	r.recordLocal(ctx, t, e.err)
}

// startSecond starts a run beside the attempt, if the request may be repeated.
func (a *attempt) startSecond(ctx context.Context) (started bool) {
	r := a.run
	if !r.request.Route.Repeatable || r.isolated() || !a.out.leads(r) {
		return false
	}
	second := *r
	second.routing.Avoid = append(slices.Clip(r.routing.Avoid), a.place.id())
	if !second.mayAttempt(ctx) {
		return false
	}
	r.d.Metrics.Retries.Inc(1)
	r.d.Log.Info("engine is silent; another one is asked beside it", "request_id", r.request.ID, "target", a.place.id(), "attempt", r.attempt)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan ended, 1)
	a.second, a.secondDone = &second, done
	a.out.open(map[*run]context.CancelFunc{r: a.cancel, &second: cancel})
	go func() {
		defer cancel()
		usage, err := second.generate(ctx, a.out)
		done <- ended{usage: usage, followed: second.followed, err: err}
	}()
	return true
}

// adopt takes over what a run that was made beside this one has used up.
func (r *run) adopt(second *run) {
	r.attempt, r.routing.Avoid = second.attempt, second.routing.Avoid
	r.mayHaveRun = r.mayHaveRun || second.mayHaveRun
}
