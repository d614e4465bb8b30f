package front

import (
	"context"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
)

// mostAsked is the number of coordinators that are asked for a place. Each
// question takes a round trip within the region.
const mostAsked = 3

// stay is a request's place at a target.
type stay interface {
	// Where returns the target's id and address.
	Where() (id, address string)
	// Source returns the address of the target that has read the shared parts of
	// the prompt, where they are to be fetched.
	Source() string
	// Answered tells that the answer has begun.
	Answered(now time.Time)
	// Event tells that an event of a stream has come.
	Event(now time.Time)
	// Done ends the stay.
	Done(result place.Result, now time.Time)
}

// place chooses a target in this region. predicted is how long the best one
// would take, where none is chosen.
func (x *exchange) place(ctx context.Context) (chosen stay, predicted time.Duration, reason place.Reason) {
	if !x.atHome(x.server.Region) {
		return nil, 0, "not_at_home"
	}
	r := x.placement(time.Now())
	if x.server.Coordinators == nil || !x.server.Placer.NeedsCoordination(r) {
		return x.pick(r)
	}
	return x.coordinate(ctx, r)
}

// pick chooses by what this VM knows.
func (x *exchange) pick(r place.Request) (chosen stay, predicted time.Duration, reason place.Reason) {
	visit, predicted, reason := x.server.Placer.Pick(r)
	if visit == nil {
		return nil, predicted, reason
	}
	return visit, predicted, ""
}

// coordinate asks the coordinators of the targets that the request prefers. If
// one of them doesn't answer, this VM chooses by itself.
func (x *exchange) coordinate(ctx context.Context, r place.Request) (chosen stay, predicted time.Duration, reason place.Reason) {
	s := x.server
	reason = place.NoTargets
	alone := false
	for _, candidate := range s.Placer.Candidates(r, mostAsked) {
		if r.Home == "" {
			r.Home = candidate.Target
		}
		r.Preferred, r.Now = candidate.Target, time.Now()
		answer, err := x.ask(ctx, candidate.VM, r)
		switch {
		case err != nil:
			alone = true
		case answer.chosen != nil:
			return answer.chosen, answer.predicted, ""
		default:
			predicted, reason = shorter(predicted, answer.predicted), answer.reason
		}
	}
	if alone || reason == place.NoTargets {
		r.Preferred, r.Home, r.Now = "", "", time.Now()
		return x.pick(r)
	}
	return nil, predicted, reason
}

type answer struct {
	chosen    stay
	predicted time.Duration
	reason    place.Reason
}

// ask asks one coordinator, which may be this VM.
func (x *exchange) ask(ctx context.Context, vm string, r place.Request) (a answer, err error) {
	s := x.server
	if vm == s.Self {
		r.Coordinated = true
		a.chosen, a.predicted, a.reason = x.pick(r)
		return a, nil
	}
	there, known := x.entry(vm)
	if !known || !s.Coordinators.Available(there.PeerAddress) {
		return a, errNoCoordinator
	}
	reserved, predicted, reason, err := s.Coordinators.Reserve(ctx, there.PeerAddress, r)
	a.predicted, a.reason = predicted, reason
	if reserved != nil {
		a.chosen = reserved
	}
	return a, err
}

func (x *exchange) entry(id string) (found entry.VM, known bool) {
	for _, v := range *x.server.Entries.Load() {
		if v.ID == id {
			return v, true
		}
	}
	return entry.VM{}, false
}

// shorter returns the shorter of two times of which 0 is unknown.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}
