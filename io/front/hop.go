package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/plan"
)

const (
	// hopHeadroom is the least time left that makes a way to another region
	// worthwhile.
	hopHeadroom = 250 * time.Millisecond
	// hopPatience is added to the patience with a target for the way to another
	// region, and for the first try of the VM there.
	hopPatience = 500 * time.Millisecond
	// hopReturn is the way of an answer between regions.
	hopReturn = 60 * time.Millisecond
)

// regions returns where the request may run.
func (x *exchange) regions() (homes []string, everywhere bool) {
	return plan.Regions(x.route.Homes, x.organisation.Homes)
}

func (x *exchange) atHome(region string) bool {
	homes, everywhere := x.regions()
	return everywhere || slices.Contains(homes, region)
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
		if len(there) > 0 && (!x.atHome(x.server.Region) || !x.server.regions.InBackoff(regionService{region, x.service}, time.Now())) {
			vms = append(vms, there[rand.IntN(len(there))])
		}
	}
	return vms
}

// away hands the request to an entry VM of another region. It returns false
// where none took it.
func (x *exchange) away(ctx context.Context, result *outcome) bool {
	for _, v := range x.neighbours() {
		if x.runs > 0 && !x.mayTryAgain(ctx, *result) {
			break
		}
		if *result = x.hop(ctx, v); *result == delivered {
			return true
		}
	}
	return false
}

// runsToHandOver is the number of runs that another region may use. One of
// several stays here, for the case that nothing comes back from there.
func (x *exchange) runsToHandOver() int {
	return max(1, x.attempts()-x.runs-1)
}

// hop hands the request to one entry VM of another region.
func (x *exchange) hop(ctx context.Context, v entry.VM) outcome {
	x.server.Metrics.Away.Inc(1)
	x.target = "vm:" + v.ID
	header := x.outgoing()
	header.Set(hopFrom, x.server.Self)
	header.Set(hopRuns, strconv.Itoa(x.runsToHandOver()))
	if key := x.header.Get(keyHeader); key != "" {
		header.Set(keyHeader, key)
	}
	bounded, patience, cancel := x.impatient(ctx, x.patience()+hopPatience)
	defer cancel()
	response, err := x.server.Peers.Do(bounded, v.ID, v.PeerAddress, x.request(header))
	if err != nil {
		return x.failed(err, x.runsToHandOver())
	}
	if reason := response.Header.Get(hopNotRun); reason != "" {
		_, err := response.ReadAll(maxAnswer)
		response.Finish(err == nil)
		x.server.regions.Refused(regionService{v.Region, x.service}, time.Now())
		x.server.Log.Info("entry VM has not run the request", "request", x.id, "vm", v.ID, "reason", reason)
		return notRun
	}
	x.server.regions.Succeeded(regionService{v.Region, x.service})
	x.runs += x.runsToHandOver()
	if response.StatusCode >= http.StatusInternalServerError && x.couldRepeat() {
		return x.keepFailure(response)
	}
	return x.deliver(response, nil, patience)
}
