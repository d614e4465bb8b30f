package front

import (
	"context"
	"time"

	"kingcuprill/core/brittle"
	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/core/targetlimit"
)

// maxCoordinators is the most coordinators that are asked for a reservation. Each
// call takes a round trip within the region.
const maxCoordinators = 3

// reservation is a place for one request at a target.
type reservation interface {
	// Where returns the target's id and address.
	Where() (id, address string)
	// Version returns the version of the target's software.
	Version() string
	// Source returns the address of the target from which the shared parts of the
	// prompt are to be fetched, or "".
	Source() string
	// ObserveLimit records what the head of the answer says about the target's limit.
	ObserveLimit(n targetlimit.Notice, now time.Time)
	// ObserveLeaving records that the head of the answer says that the target leaves.
	ObserveLeaving(now time.Time)
	// ObserveBrittle records what the head of the answer says about the refusals that the
	// target survives.
	ObserveBrittle(n brittle.Notice, now time.Time)
	// Answered records that the answer has begun.
	Answered(now time.Time)
	// Event records that an event of a stream has come.
	Event(now time.Time)
	// Done ends the reservation.
	Done(result place.Result, now time.Time)
}

// place reserves a place at a target in this region. predicted is the time until
// the answer begins, at the best target if none is chosen.
func (x *exchange) place(ctx context.Context) (chosen reservation, predicted time.Duration, reason place.Reason) {
	if !x.atHome(x.server.Region) {
		return nil, 0, "not_at_home"
	}
	r := x.placement(time.Now())
	r.MayForward, r.AwayTime = x.mayForward(r), 2*interRegionLatency
	r.LeaveAfter = x.leaveAfter(r)
	if x.server.Coordinators == nil || !x.server.Placer.NeedsCoordination(r) {
		chosen, predicted, reason = x.pickAlone(r)
	} else {
		chosen, predicted, reason = x.coordinate(ctx, r)
	}
	if x.tries > 0 && chosen != nil {
		x.server.Metrics.Retries.Inc(1)
	}
	if reason == place.NoRetries {
		x.server.Log.Warn("retry budget of the service is used up; the request is not retried", "request", x.id, "service", x.service)
	}
	return chosen, predicted, reason
}

// pickAlone chooses a target without a coordinator. A retry is taken from this VM's own
// budget.
func (x *exchange) pickAlone(r place.Request) (chosen reservation, predicted time.Duration, reason place.Reason) {
	if !x.takeRetry(r) {
		return nil, 0, place.NoRetries
	}
	return x.pick(r)
}

// pick chooses a target from this VM's own data.
func (x *exchange) pick(r place.Request) (chosen reservation, predicted time.Duration, reason place.Reason) {
	x.coordinator = x.server.Self
	assigned, predicted, reason := x.server.Placer.Pick(r)
	if assigned == nil {
		return nil, predicted, reason
	}
	return assigned, predicted, ""
}

// coordinate asks the coordinators of the targets that the request prefers for a
// reservation. If none grants one, and a coordinator didn't answer or no target is
// known, this VM chooses from its own data.
func (x *exchange) coordinate(ctx context.Context, r place.Request) (chosen reservation, predicted time.Duration, reason place.Reason) {
	s := x.server
	reason = place.NoTargets
	coordinatorFailed, denied, busier := false, false, false
	for _, candidate := range s.Placer.Candidates(r, maxCoordinators) {
		if r.Home == "" {
			r.Home = candidate.Target
		}
		r.Preferred, r.Now = candidate.Target, time.Now()
		r.Limits = s.Placer.KnownLimits(r.Service, candidate.VM, r.Now)
		answer, err := x.ask(ctx, candidate.VM, r)
		r.MayForward = false // only the first coordinator decides
		switch {
		case err != nil:
			coordinatorFailed = true
		case answer.chosen != nil:
			return answer.chosen, answer.predicted, ""
		case answer.reason == place.Elsewhere:
			return nil, answer.predicted, answer.reason
		default:
			predicted, reason = shorter(predicted, answer.predicted), answer.reason
			denied, busier = denied || reason == place.NoTargets, busier || reason == place.Busier
		}
	}
	if busier {
		return nil, predicted, place.Busier
	}
	if denied && r.SameVersion && !s.Lease.Valid() {
		return nil, predicted, place.NoTargets // this VM may be the one that is behind
	}
	if coordinatorFailed || reason == place.NoTargets {
		r.Preferred, r.Home, r.Now = "", "", time.Now()
		return x.pickAlone(r)
	}
	return nil, predicted, reason
}

type answer struct {
	chosen    reservation
	predicted time.Duration
	reason    place.Reason
}

// ask requests a reservation from one coordinator, which may be this VM.
func (x *exchange) ask(ctx context.Context, vm string, r place.Request) (a answer, err error) {
	s := x.server
	if vm == s.Self {
		r.Coordinated = true
		a.chosen, a.predicted, a.reason = x.pick(r)
		return a, nil
	}
	peerVM, known := x.entry(vm)
	if !known || !s.Coordinators.Available(peerVM.PeerAddress) {
		return a, errNoCoordinator
	}
	reserved, predicted, reason, err := s.Coordinators.Reserve(ctx, peerVM.PeerAddress, r)
	a.predicted, a.reason = predicted, reason
	if reserved != nil {
		a.chosen = reserved
	}
	if reserved != nil && !x.accepts(r, vm, reserved) {
		reserved.Done(place.Inconclusive, time.Now())
		return answer{}, errNoCoordinator
	}
	x.coordinator = vm
	return a, err
}

// accepts reports whether a place that another VM has given out is used. A VM of an earlier
// release ignores the version, and any may know less of the target than this one.
func (x *exchange) accepts(r place.Request, vm string, reserved reservation) bool {
	if r.SameVersion && reserved.Version() != r.Version {
		return false
	}
	if x.maySend(reserved) {
		return true
	}
	target, _ := reserved.Where()
	x.server.Metrics.Count("places.behind")
	x.server.Log.Warn("place of a coordinator is not used, as this VM knows more of the target", "request", x.id, "coordinator", vm, "target", target)
	return false
}

// maySend reports whether the request may be sent to a place by what this VM itself knows.
func (x *exchange) maySend(reserved reservation) bool {
	s := x.server
	target, address := reserved.Where()
	at := place.Place{Target: target, Address: address, Version: reserved.Version()}
	by := place.View{Evacuated: s.State.Read().Evacuated, Confirmed: s.Lease.Valid(), SameVersion: x.origin.known}
	return s.Placer.MaySend(at, by, time.Now())
}

func (x *exchange) entry(id string) (found entry.VM, known bool) {
	for _, v := range *x.server.Entries.Load() {
		if v.ID == id {
			return v, true
		}
	}
	return entry.VM{}, false
}

// shorter returns the shorter of two times; 0 means unknown.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}
