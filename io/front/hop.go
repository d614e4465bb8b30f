package front

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
)

const (
	// minForwardTime is the least time left for which a request is forwarded to
	// another region.
	minForwardTime = 250 * time.Millisecond
	// forwardTimeoutExtra is added to the timeout of a try, for the round trip to
	// another region and the first try of the VM there.
	forwardTimeoutExtra = 500 * time.Millisecond
	// interRegionLatency is the time that an answer takes between regions.
	interRegionLatency = 60 * time.Millisecond
)

// allowedRegions returns the other regions where the request may run, in the order of its
// shared part.
func (x *exchange) allowedRegions(r place.Request) []string {
	return slices.DeleteFunc(x.server.Placer.Regions(r), func(region string) bool { return !x.atHome(region) })
}

// forwardRegions returns the regions to which the request may be forwarded now, the best one
// first. Those in backoff are left out if the request may run in this region, which has
// targets.
func (x *exchange) forwardRegions(r place.Request, reason place.Reason) (regions []string) {
	if x.from != "" || x.deadline.Sub(r.Now) < minForwardTime {
		return nil
	}
	for _, region := range x.orderRegions(x.allowedRegions(r), r, reason) {
		if x.atHome(x.server.Region) && reason != place.NoTargets && x.server.regions.InBackoff(regionRoute{region, x.route.Name}, r.Now) {
			continue
		}
		regions = append(regions, region)
	}
	return regions
}

// forwardCandidates returns entry VMs of other regions where the request may run, this VM's
// partner in each region, the best region first.
func (x *exchange) forwardCandidates(reason place.Reason) (vms []entry.VM) {
	known, now := *x.server.Entries.Load(), time.Now()
	for _, region := range x.forwardRegions(x.placement(now), reason) {
		excluded := func(v entry.VM) bool {
			return v.WithoutTargets || v.LinkBusy || v.ID == x.silentVM || slices.Contains(x.outOfUse, v.ID) || x.server.partners.InBackoff(v.ID, now)
		}
		partner, found := entry.Partner(x.server.Self, known, region, excluded)
		if found {
			vms = append(vms, partner)
		}
	}
	return vms
}

// mayForward reports whether the home region of the request's shared part is another
// one that can take the request now.
func (x *exchange) mayForward(r place.Request) bool {
	if x.from != "" || x.stay || x.tries > 0 || time.Until(x.deadline) < minForwardTime {
		return false
	}
	region, other := x.server.Placer.HomeRegion(r, x.atHome)
	return other && !x.server.regions.InBackoff(regionRoute{region, x.route.Name}, r.Now)
}

// forward sends the request to entry VMs of other regions, one after the other. reason
// says why no target of this region was selected. forward returns false if none has
// answered the caller.
//
// What a VM says of itself says nothing about its region: another VM there is asked then.
func (x *exchange) forward(ctx context.Context, reason place.Reason, result *outcome) bool {
	asked := map[string]int{} // VMs, by region; maxNeighbours for one that has answered for its region
	for {
		v, found := x.nextVM(reason, asked)
		if !found || x.runs > 0 && !x.mayTryAgain(ctx, *result) || !x.takeRetry(x.placement(time.Now())) {
			return false
		}
		x.noteBusier(v, reason)
		if *result = x.forwardTo(ctx, v); *result == delivered {
			return true
		}
		asked[v.Region]++
		if !slices.Contains(x.outOfUse, v.ID) {
			asked[v.Region] = maxNeighbours
		}
	}
}

// nextVM returns the entry VM of another region that is asked next.
func (x *exchange) nextVM(reason place.Reason, asked map[string]int) (next entry.VM, found bool) {
	for _, v := range x.forwardCandidates(reason) {
		if asked[v.Region] < maxNeighbours {
			return v, true
		}
	}
	return entry.VM{}, false
}

// forwardedRuns returns the number of runs that another region may use. If several
// are left, one is kept back in case the other region never answers.
func (x *exchange) forwardedRuns() int {
	return max(1, x.attempts()-x.runs-1)
}

// forwardTo sends the request to one entry VM of this or another region.
func (x *exchange) forwardTo(ctx context.Context, v entry.VM) outcome {
	x.server.Metrics.Away.Inc(1)
	x.target = vmPrefix + v.ID
	x.progress = answerProgress{}
	header := x.outgoing()
	header.Set(hopFrom, x.server.Self)
	header.Set(hopRuns, strconv.Itoa(x.forwardedRuns()))
	header.Set(hopRevision, strconv.FormatUint(x.server.State.Read().Revision, 10))
	if x.trial {
		header.Set(hopTrial, "1")
	}
	x.addOrigin(header)
	if key := x.header.Get(keyHeader); key != "" {
		header.Set(keyHeader, key)
	}
	bounded, h := x.startHedge(ctx, x.tryTimeout()+forwardTimeoutExtra, x.forwardedRuns())
	return h.finish(x.tryVM(bounded, h, v, header))
}

// blamesVM reports whether an error after some time says something about the VM that the
// request was forwarded to: not if the caller has left, or the request's own time has
// ended before an answer could be expected.
func (x *exchange) blamesVM(err error, after time.Duration) bool {
	if x.caller.Context().Err() != nil || errors.Is(err, errNotNeeded) || errors.Is(err, errNotAtHome) {
		return false
	}
	return after >= minTryTimeout || time.Now().Before(x.deadline)
}

// reasonsOfOneVM are reasons of refusals by an entry VM that say nothing about its region.
var reasonsOfOneVM = []string{linksReason, stoppingReason, notConfirmed, noConfiguration, bodiesReason, linkReason}

// leaveOut sends no more of this request, and for a while nothing, to an entry VM that can't
// serve it.
func (x *exchange) leaveOut(v entry.VM) {
	x.outOfUse = append(x.outOfUse, v.ID)
	x.server.partners.Refused(v.ID, time.Now())
}

// tryVM sends the request to an entry VM and delivers the answer.
func (x *exchange) tryVM(ctx context.Context, h *hedge, v entry.VM, header http.Header) outcome {
	begun := time.Now()
	forwarded := x.startForwardedTry(v)
	defer forwarded.end()
	response, err := x.server.Peers.Do(ctx, v.ID, v.PeerAddress, x.request(header, v.Region))
	if err != nil {
		h.leave()
		if x.blamesVM(err, time.Since(begun)) {
			x.leaveOut(v)
		}
		return x.recordConnectionError(err, x.forwardedRuns())
	}
	reason := response.Header.Get(hopNotRun)
	ownRefusal := slices.Contains(reasonsOfOneVM, reason)
	if !ownRefusal {
		x.server.partners.Succeeded(v.ID)
	}
	forwarded.learn(response.Header, reason)
	if reason != "" {
		h.leave()
		response.Finish(response.Discard() == nil)
		switch {
		case ownRefusal:
			x.leaveOut(v)
		case reason != quarantinedReason && reason != suspectReason && v.Region != x.server.Region:
			x.server.regions.Refused(regionRoute{v.Region, x.route.Name}, time.Now())
		}
		x.server.Log.Info("entry VM has refused the forwarded request without running it", "request", x.id, "vm", v.ID, "reason", reason)
		return notRun
	}
	x.server.regions.Succeeded(regionRoute{v.Region, x.route.Name})
	return x.receive(h, response, nil, x.forwardedRuns())
}
