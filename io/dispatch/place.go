package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/route"
	"kingcuprill/core/summary"
	"kingcuprill/core/target"
)

// place is where a request runs: at a target of this data centre or, if target
// is nil, at another VM.
type place struct {
	target *target.Target
	vm     membership.Member
}

func (p place) id() string {
	if p.target != nil {
		return p.target.ID
	}
	return p.vm.ID
}

// choose compares the best target of this data centre with the best other data
// centre. found is false if no place is available now.
//
// Rules that have changed since the request came may only restrict it further: its caller has
// relied on the earlier ones.
func (r *run) choose(now time.Time) (p place, found bool, err error) {
	r.routing.Permitted = r.routing.Permitted.And(r.permitted())
	if r.routing.Permitted.Nowhere() {
		return place{}, false, fault.New(fault.Residency, "residency rules allow no region for requests of organisation %q on route %q", r.request.Organisation, r.request.Route.Name)
	}
	local, localCost, hasLocal := r.chooseLocal(now)
	remote, remoteCost, hasRemote := r.chooseRemote(now)
	if hasRemote && (!hasLocal || r.preferRemote(localCost, remoteCost)) {
		if vm, found := r.chooseVM(remote.DataCentre); found {
			return place{vm: vm}, true, r.shed(remoteCost)
		}
	}
	if !hasLocal {
		return place{}, false, nil
	}
	if err := r.shed(localCost); err != nil {
		return place{}, true, err
	}
	if r.isolated() && !r.beginTrial(local.Live) {
		return place{}, false, nil // another suspect was admitted first
	}
	if !local.Live.Limit.Take(local.ID, r.d.VMState.Self, r.localVMs, now) {
		r.endTrial(local.Live)
		return place{}, false, nil // another request was sent first
	}
	r.d.roundRobin.Chosen(local)
	local.Live.Circuit.Allow() // if the circuit breaker is open, this request is its probe
	return place{target: local}, true, nil
}

// shed refuses a request that is predicted to wait beyond its deadline.
func (r *run) shed(cost time.Duration) error {
	if r.attempt == 0 && cost > time.Until(r.request.Deadline) {
		return fault.New(fault.Overloaded, "the targets of route %q are busy for about %v, beyond the deadline", r.request.Route.Name, cost.Round(time.Millisecond))
	}
	return nil
}

func (r *run) preferRemote(localCost, remoteCost time.Duration) bool {
	switch r.d.Policy.Name {
	case "always_local":
		return false
	case "round_robin":
		return rand.IntN(2) == 0
	}
	return remoteCost < localCost
}

func (r *run) chooseLocal(now time.Time) (chosen *target.Target, cost time.Duration, found bool) {
	if !r.routing.Permitted.Allows(r.d.VMState.Region) {
		return nil, 0, false
	}
	routing := r.routing
	routing.Suspect = r.suspect
	routing.Allows = func(t *target.Target) bool { return t.Live.Limit.Allows(t.ID, r.d.VMState.Self, r.localVMs, now) }
	eligible := route.Eligible(r.d.VMState.Targets.View.Read(), routing, now)
	switch r.d.Policy.Name {
	case "round_robin":
		return route.Choose(&r.d.roundRobin, routing, eligible, now)
	case "least_loaded":
		chosen, _, found = route.Choose(route.LeastLoaded{}, routing, eligible, now)
		if !found {
			return nil, 0, false
		}
		load := chosen.Live.InFlight.Load() + chosen.Live.OthersAtReport.Load()
		return chosen, time.Duration(load * int64(time.Second) / int64(max(1, chosen.Capacity))), true
	}
	return route.Choose(route.Predicted{Weights: r.d.Policy.Weights}, routing, eligible, now)
}

// maxSummaryAge is how old a summary may be. With 380 VMs a summary takes about
// ten rounds of gossip to reach all of them.
const maxSummaryAge = 15 * time.Second

func (r *run) chooseRemote(now time.Time) (remote route.Remote, cost time.Duration, found bool) {
	if !r.request.Path.MayForward() {
		return remote, 0, false
	}
	remotes := r.remotes(now)
	if r.d.Policy.Name == "least_loaded" || r.d.Policy.Name == "round_robin" {
		weights := route.Weights{ServiceTime: time.Second}
		return route.Choose(route.PredictedRemote{Weights: weights}, r.routing, remotes, now)
	}
	return route.Choose(route.PredictedRemote{Weights: r.d.Policy.Weights}, r.routing, remotes, now)
}

// remotes returns the other data centres that serve the request and where it is
// permitted.
func (r *run) remotes(now time.Time) (remotes []route.Remote) {
	members := r.d.VMState.Members.View.Read()
	for name, s := range r.d.VMState.Summaries.Read().ByDataCentre {
		if name == r.d.VMState.DataCentre || !r.routing.Permitted.Allows(s.Region) || now.Sub(s.Received) > maxSummaryAge {
			continue
		}
		if len(members.UsableIn(name)) == 0 {
			continue
		}
		if load, serves := r.serves(s); serves {
			remotes = append(remotes, route.Remote{
				DataCentre: name, Region: s.Region, Capacity: load.Capacity, InFlight: load.InFlight,
				SameRegion: s.Region == r.d.VMState.Region, Reported: s.Received,
			})
		}
	}
	return remotes
}

func (r *run) serves(s summary.Summary) (load summary.Service, found bool) {
	for _, load := range s.Services {
		if load.Name != r.routing.Service {
			continue
		}
		if r.routing.Model == "" || slices.Contains(load.Models, r.routing.Model) {
			return load, true
		}
	}
	return load, false
}

// chooseVM chooses a random usable VM of a data centre, without those that have
// failed this request.
func (r *run) chooseVM(dataCentre string) (m membership.Member, found bool) {
	candidates := []membership.Member{}
	for _, m := range r.d.VMState.Members.View.Read().UsableIn(dataCentre) {
		if !slices.Contains(r.routing.Avoid, m.ID) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return m, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// versionGone reports whether no engine of the version that has begun the answer is left
// in this data centre.
func (r *run) versionGone(now time.Time) bool {
	if !r.routing.SameVersion {
		return false
	}
	for _, row := range r.d.VMState.Targets.View.Read().ByService[r.routing.Service] {
		if row.Version == r.routing.Version && row.Serves(r.routing.Model, now) {
			return false
		}
	}
	return true
}
