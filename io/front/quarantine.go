package front

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/eventstream"
	"kingcuprill/core/plan"
	"kingcuprill/core/quarantine"
	"kingcuprill/io/upstream"
)

const (
	// soundAfter is how long after its begin an answer must go on for its prompt parts
	// to count as harmless. Until then, it may have caused the crash of its target.
	soundAfter = 300 * time.Millisecond
	// crashRemembered is how long the result of a look at a target is used for the
	// other requests that broke off there.
	crashRemembered = 2 * time.Second
	// trialWait is when callers should return whose request has a part that is being
	// tried; there is jitter of as much again. A trial takes about as long as an answer
	// takes to begin.
	trialWait = 500 * time.Millisecond
)

// Reasons of refusals that concern the request and not this VM's region.
const (
	quarantinedReason = "quarantined"
	suspectReason     = "suspect_part"
	trialFailedReason = "trial_failed"
)

// identity returns what identifies the request as a possible cause of crashes.
func (x *exchange) identity() quarantine.Request {
	if x.crashIdentity.Service == "" {
		service := x.service
		if model := x.header.Get(x.server.Headers.Model); model != "" {
			service += "/" + model
		}
		x.crashIdentity = quarantine.Request{
			Service: service, Organisation: x.organisation.Name, Parts: x.demand.SharedIDs(),
			Fingerprint: quarantine.FingerprintWithBody(x.organisation.Name, x.route.Name, x.caller.Method+x.caller.RequestURI+"\x00", x.body),
		}
	}
	return x.crashIdentity
}

// judge returns whether the request may run now. The rest of a stream isn't suspect: a
// target has gone beyond the begin of its answer without a crash.
func (x *exchange) judge() quarantine.Verdict {
	if x.server.Quarantine.Empty() {
		return quarantine.Verdict{}
	}
	verdict := x.server.Quarantine.Judge(x.identity())
	if x.origin.known && !x.trial {
		verdict.Suspect = false
	}
	return verdict
}

// quarantined ends a request that must not run like others, and reports whether it
// has: it is refused, or run as a trial.
func (x *exchange) quarantined(ctx context.Context) bool {
	verdict := x.judge()
	forwardedTrial := x.from != "" && x.header.Get(hopTrial) != ""
	switch {
	case verdict.Refused:
		x.server.Log.Warn("request has a part that crashes targets; it is not run", "request", x.id, "service", x.service, "parts", verdict.Parts, "until", verdict.Until)
		x.refuse(&refusal{status: http.StatusServiceUnavailable, reason: quarantinedReason, retryAfter: time.Until(verdict.Until), notRun: true})
	case verdict.Suspect:
		x.tryApart(ctx, verdict.Parts)
	case forwardedTrial:
		// The sender has heard of a crash that this VM has not heard of yet.
		x.tryApart(ctx, x.identity().Parts)
	default:
		return false
	}
	return true
}

// tryApart runs a request with suspect parts as a trial. One VM of a region runs the
// trials of a service, one at a time for each part, so that harmless parts are cleared
// and harmful ones crash few targets.
func (x *exchange) tryApart(ctx context.Context, parts []string) {
	s := x.server
	owner := x.trialVM()
	if x.from == "" && owner.ID != s.Self {
		if owner = x.forwardTrial(ctx, owner); owner.ID != s.Self {
			return
		}
	}
	switch {
	case owner.ID != s.Self && x.header.Get(hopTrial) == "":
		x.refuseSuspect()
	case !s.Quarantine.BeginTrial(x.identity().Service, parts):
		x.refuseSuspect()
	default:
		defer s.Quarantine.EndTrial(x.identity().Service, parts)
		x.runTrial(ctx, parts)
	}
}

// forwardTrial sends the request to the VM that runs its trials, and to the next one if that
// refuses it for itself. The request has ended unless next is this VM.
func (x *exchange) forwardTrial(ctx context.Context, owner entry.VM) (next entry.VM) {
	x.trial = true
	for range maxNeighbours {
		result := x.forwardTo(ctx, owner)
		if result == delivered {
			return owner
		}
		if result != notRun || !slices.Contains(x.outOfUse, owner.ID) {
			x.giveUp(ctx, result, trialFailedReason)
			return owner
		}
		if owner = x.trialVM(); owner.ID == x.server.Self {
			return owner
		}
	}
	x.giveUp(ctx, notRun, trialFailedReason)
	return owner
}

func (x *exchange) refuseSuspect() {
	wait := trialWait + time.Duration(rand.Int64N(int64(trialWait)))
	wait = min(wait, time.Until(x.deadline)/retryAfterDivisor)
	x.refuse(&refusal{status: http.StatusServiceUnavailable, reason: suspectReason, retryAfter: wait, notRun: true})
}

// runTrial sends the request to one target of this region, once.
func (x *exchange) runTrial(ctx context.Context, parts []string) {
	x.trial, x.stay = true, true
	x.server.Metrics.Count("quarantine.trials")
	x.server.Log.Info("request runs as a trial, since a target has crashed at one of its parts", "request", x.id, "service", x.service, "parts", parts)
	reserved, predicted, reason := x.place(ctx)
	x.predicted = predicted
	if reserved == nil {
		x.giveUp(ctx, notRun, string(reason))
		return
	}
	if result := x.try(ctx, reserved); result != delivered {
		x.giveUp(ctx, result, trialFailedReason)
	}
}

// trialVM returns the VM that runs the trials for the request: one of this region, if
// the request may run here and there are targets.
func (x *exchange) trialVM() entry.VM {
	s, now := x.server, time.Now()
	r := x.placement(now)
	regions := s.Placer.Regions(r)
	if x.atHome(s.Region) && len(s.Placer.Candidates(r, 1)) > 0 {
		regions = []string{s.Region}
	}
	for _, region := range regions {
		if !x.atHome(region) {
			continue
		}
		// The name of the service takes the place of a VM's, so that all VMs agree.
		vm, found := entry.Partner("trials of "+x.service, *s.Entries.Load(), region, func(v entry.VM) bool {
			return v.WithoutTargets || v.ID != s.Self && s.partners.InBackoff(v.ID, now)
		})
		if found {
			return vm
		}
	}
	return entry.VM{ID: s.Self}
}

// errSuspect is the error of a try that was given up, as other targets have crashed that
// had begun to answer such a request.
var errSuspect = errors.New("other targets have crashed at a part of the request")

// sendWatched sends the request to a target and waits for the head of the answer. It
// takes the request back if it turns out to crash targets, before it crashes this one. A
// call that may run only once isn't taken back, as nothing could stand in the place of its
// answer. A stream that hasn't begun leaves no trace at its target.
func (x *exchange) sendWatched(ctx context.Context, target, address string, request upstream.Request) (*upstream.Response, error) {
	if x.trial || x.origin.known || x.route.Kind == plan.NonIdempotent {
		return x.server.Targets.Do(ctx, target, address, request)
	}
	var headCame atomic.Bool
	watched, end := context.WithCancelCause(ctx)
	stop := x.server.Quarantine.Watch(x.identity(), func() {
		if !headCame.Load() {
			x.server.Log.Warn("request is taken back from its target, since other targets have crashed at a part of it", "request", x.id, "target", target)
			end(errSuspect)
		}
	})
	defer stop()
	response, err := x.server.Targets.Do(watched, target, address, request)
	headCame.Store(true)
	return response, err
}

// recordBreak reports the request as a possible cause if its target has crashed. begun
// tells whether the target had begun the answer, but sent no part of it.
func (x *exchange) recordBreak(target, address string, begun bool, err error) {
	if !brokenOff(err) || x.caller.Context().Err() != nil {
		return
	}
	s := x.server
	boot := s.Placer.Boot(target)
	if !s.crashes.happened(boot, func() bool { return s.hasCrashed(target, address) }) {
		return
	}
	row := s.Quarantine.Report(x.id+"@"+boot, boot, x.identity(), begun, x.trial)
	s.Metrics.Count("quarantine.crashes")
	s.Log.Warn("target has crashed before it answered a request; the request's parts are suspect until answers clear them", "request", x.id,
		"target", target, "boot", boot, "service", row.Service, "begun", begun, "trial", x.trial, "parts", row.Parts, "known", row.Known)
}

// hasCrashed looks whether a target at which a connection broke has crashed.
func (s *Server) hasCrashed(target, address string) bool {
	if !s.Links.ReachesOther(target) {
		s.Log.Info("connection to the target broke, and no other target is reached; no crash is recorded", "target", target)
		return false
	}
	if !s.Targets.Refuses(target, address) {
		s.Log.Info("connection to the target broke, but it refuses no new one; no crash is recorded", "target", target)
		return false
	}
	return true
}

// brokenOff reports whether the peer has closed or reset the connection.
func brokenOff(err error) bool {
	for _, known := range []error{io.EOF, io.ErrUnexpectedEOF, eventstream.ErrTruncated, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// crashChecks remembers for a while which targets have been found to have crashed, so
// that each is looked at once. The zero value is ready for use.
type crashChecks struct {
	byBoot sync.Map // string to func() bool
}

func (c *crashChecks) happened(boot string, look func() bool) bool {
	check, known := c.byBoot.LoadOrStore(boot, sync.OnceValue(look))
	if !known {
		time.AfterFunc(crashRemembered, func() { c.byBoot.Delete(boot) })
	}
	return check.(func() bool)()
}

// answerProgress follows the answer of a target, to find out whether the request is
// harmless.
type answerProgress struct {
	mark  uint64    // of the quarantine list, from the begin of the answer
	began time.Time // first event, zero before it
	sound bool
	err   error // with which the answer broke off
}

// mayHaveCrashed reports whether the answer broke off early enough to have crashed its
// target.
func (p *answerProgress) mayHaveCrashed() bool {
	return p.err != nil && (p.began.IsZero() || time.Since(p.began) < soundAfter)
}

// recordEvent clears the request's parts once its answer has gone on for a while.
func (x *exchange) recordEvent(now time.Time) {
	p := &x.progress
	if p.began.IsZero() {
		p.began, p.mark = now, x.server.Quarantine.Mark()
	}
	if now.Sub(p.began) >= soundAfter {
		x.recordSound()
	}
}

// recordSound clears the request's parts, as its answer has gone on well.
func (x *exchange) recordSound() {
	if x.progress.sound {
		return
	}
	x.progress.sound = true
	x.server.Quarantine.Sound(x.progress.mark, x.identity())
}
