package front

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/core/regionload"
)

// leaveAfter returns the predicted time above which a new request of a caller rather goes to
// another region, 0 for never.
func (x *exchange) leaveAfter(r place.Request) time.Duration {
	again := x.tries > 0 || x.runs > 0 || x.stay || x.behind != nil
	if !x.server.ByRegion || x.from != "" || x.trial || x.origin.known || again || r.Objective <= 0 {
		return 0
	}
	regions := x.forwardRegions(r, place.Busier)
	if len(regions) == 0 {
		return 0
	}
	all, remote := x.allowedRegions(r), time.Duration(0)
	for _, region := range regions {
		remote = shorter(remote, x.predictRegion(region, r, all).Begin)
	}
	return regionload.LeaveAfter(remote, r.Objective, rand.Float64())
}

// predictRegion returns what is known of another region for a request.
//
// The shared parts of the prompt count as read in the first of the regions only, since all
// VMs send them there first.
func (x *exchange) predictRegion(region string, r place.Request, regions []string) regionload.Prediction {
	cost := x.server.Placer.RemoteCost(r, region)
	need := regionload.Need{Reading: cost.Own, Objective: r.Objective}
	if len(regions) > 0 && region != regions[0] {
		need.Reading += cost.Shared
	}
	return x.server.regionLoad.Predict(kindOf(r, region), need, r.Now)
}

func kindOf(r place.Request, region string) regionload.Kind {
	return regionload.Kind{Region: region, Service: r.Service, Rank: r.Rank}
}

// orderRegions returns the regions to which a request may be forwarded, the one first that
// is predicted to answer earliest. A request that leaves a region that isn't full goes only
// where it gains time. One that belongs to the home region of its shared part keeps the
// order of its part.
func (x *exchange) orderRegions(regions []string, r place.Request, reason place.Reason) (ordered []string) {
	if !x.server.ByRegion || reason == place.Elsewhere {
		return regions
	}
	times := map[string]time.Duration{}
	for _, region := range regions {
		p := x.predictRegion(region, r, regions)
		if reason != place.Busier {
			times[region] = regionload.Weigh(p, r.Objective, x.draw(region))
			ordered = append(ordered, region)
			continue
		}
		early, usable := regionload.WeighEarly(p, r.Objective, x.draw(region))
		if !usable {
			x.server.regionLoad.Skip(kindOf(r, region), r.Now)
			continue
		}
		if x.predicted == 0 || p.Begin+regionload.RoundTrip < x.predicted {
			times[region] = early
			ordered = append(ordered, region)
		}
	}
	slices.SortStableFunc(ordered, func(a, b string) int { return cmp.Compare(times[a], times[b]) })
	return ordered
}

// draw returns a random number from 0 to 1 for a region, the same one for all choices of a
// request.
func (x *exchange) draw(region string) float64 {
	if x.regionSeed == 0 {
		x.regionSeed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(x.regionSeed, xxhash.Sum64String(region))).Float64()
}

// noteBusier records that a request is sent to another region, as this one is busy.
func (x *exchange) noteBusier(v entry.VM, reason place.Reason) {
	if reason != place.Busier {
		return
	}
	x.left = true
	r := x.placement(time.Now())
	remote := x.predictRegion(v.Region, r, []string{v.Region}).Begin
	x.server.Metrics.Count("regions.left")
	x.server.Log.Info("request leaves its busy region", "request", x.id, "service", x.service, "rank", r.Rank, "region", v.Region, "vm", v.ID, "local", x.predicted.Round(time.Millisecond), "remote", remote.Round(time.Millisecond))
}

// comesBack reports whether a request that was to go to another region, although this one
// isn't full, is placed here after all. If it may have run there, that is a retry.
func (x *exchange) comesBack(reason place.Reason, result outcome) bool {
	switch {
	case reason == place.Elsewhere:
		return result == notRun
	case reason != place.Busier:
		return false
	case result != notRun && !(x.couldRepeat() && x.server.budget(x.placement(time.Now())).Retry()):
		return false
	}
	x.noteReturn()
	return true
}

// noteReturn records that a request has come back to its busy region.
func (x *exchange) noteReturn() {
	if !x.left {
		return
	}
	x.server.Metrics.Count("regions.returned")
	x.server.Log.Info("request returns to its busy region, as no other one has taken it", "request", x.id, "service", x.service)
}

// setPredicted tells the VM of another region that has forwarded the request when its answer
// was predicted to begin.
func (x *exchange) setPredicted(header http.Header) {
	text := regionload.Format(x.predicted)
	if !x.server.ByRegion || x.from == "" || text == "" || x.fromNeighbour() {
		return
	}
	header.Set(hopPredicted, text)
}

// forwardedTry is one try in another region. A nil one learns nothing.
type forwardedTry struct {
	*regionload.ForwardedRequest
	objective time.Duration
}

func (x *exchange) startForwardedTry(v entry.VM) *forwardedTry {
	s := x.server
	if !s.ByRegion || v.Region == s.Region {
		return nil
	}
	r := x.placement(time.Now())
	cost := s.Placer.RemoteCost(r, v.Region)
	return &forwardedTry{ForwardedRequest: s.regionLoad.Send(kindOf(r, v.Region), cost.Own, cost.Load, r.Now), objective: r.Objective}
}

// learn records what an answer, or a refusal for a reason, says of its region.
func (f *forwardedTry) learn(header http.Header, reason string) {
	if f == nil {
		return
	}
	predicted, found := regionload.Parse(header.Get(hopPredicted))
	switch {
	case slices.Contains(reasonsOfOneVM, reason) || reason == quarantinedReason || reason == suspectReason:
	case reason != "":
		f.Refused(predicted, f.objective, time.Now())
	case found:
		f.Learn(predicted, time.Now())
	}
}

func (f *forwardedTry) end() {
	if f != nil {
		f.End()
	}
}
