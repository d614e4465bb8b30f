package front

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/io/targetlink"
	"kingcuprill/io/upstream"
)

// maxNeighbours is the number of VMs of one region, this one or another, to which a request is
// forwarded, one after the other.
const maxNeighbours = 2

// linksReason is the reason of refusals by a VM that reaches no target.
const linksReason = "links_lost"

// errLinksLost is the cause of a try that was given up as this VM has lost its links.
var errLinksLost = errors.New("this VM reaches no target any more")

// neighbours returns VMs of this region that reach targets, those of this data centre
// first. Requests are spread over them by their ids.
func (x *exchange) neighbours() (vms []entry.VM) {
	s, now := x.server, time.Now()
	if x.from != "" || !x.atHome(s.Region) || time.Until(x.deadline) < minForwardTime {
		return nil
	}
	own := ""
	for _, v := range *s.Entries.Load() {
		switch {
		case v.ID == s.Self:
			own = v.DataCentre
		case v.Ready && !v.WithoutTargets && v.ID != x.silentVM && v.Region == s.Region && !s.partners.InBackoff(v.ID, now):
			vms = append(vms, v)
		}
	}
	weight := func(v entry.VM) uint64 {
		w := xxhash.Sum64String(x.id+"\x00"+v.ID) >> 1
		if v.DataCentre == own {
			w += 1 << 63
		}
		return w
	}
	slices.SortFunc(vms, func(a, b entry.VM) int { return cmp.Compare(weight(b), weight(a)) })
	return vms[:min(maxNeighbours, len(vms))]
}

// goAround sends the request over other VMs, as this one reaches no target. It reports
// whether the request has ended.
func (x *exchange) goAround(ctx context.Context, result *outcome) (ended bool) {
	x.server.Metrics.Count("links.around")
	for _, v := range x.neighbours() {
		if x.runs > 0 && !x.mayTryAgain(ctx, *result) || !x.takeRetry(x.placement(time.Now())) {
			break
		}
		if *result = x.forwardTo(ctx, v); *result == delivered {
			return true
		}
	}
	if x.forward(ctx, place.NoTargets, result) {
		return true
	}
	if !x.server.Links.Lost() {
		return false
	}
	x.giveUp(ctx, *result, linksReason)
	return true
}

// linkWatch bounds a try by the links of this VM.
type linkWatch struct {
	connecting context.Context // ends when the links are lost
	stop       func()
}

// watchLinks starts to watch the links for a try. If nothing comes from any target, it
// has them probed. If they are lost, what isn't sent yet is taken back, and another way is
// looked for beside what is sent.
func (x *exchange) watchLinks(ctx context.Context, h *hedge) linkWatch {
	links := x.server.Links
	connecting, end := context.WithCancelCause(ctx)
	forget := links.OnLost(func() {
		end(errLinksLost)
		go h.begin()
	})
	timer := time.AfterFunc(targetlink.SilentAfter, links.CheckSilence)
	return linkWatch{connecting: connecting, stop: func() {
		timer.Stop()
		forget()
		end(nil)
	}}
}

// blame returns what a failed try says about its target: nothing, if this VM has ended it or
// doesn't reach other targets either.
func (x *exchange) blame(ctx context.Context, target string, err error) place.Result {
	if endedByStop(ctx) || x.caller.Context().Err() != nil || errors.Is(err, errSuspect) || errors.Is(err, errLinksLost) || errors.Is(err, errNotNeeded) || errors.Is(err, errNotAtHome) {
		return place.Inconclusive
	}
	if errors.Is(err, upstream.ErrLaterStart) || errors.Is(err, upstream.ErrStartUnknown) {
		return place.Inconclusive
	}
	if !x.server.Links.ReachesOther(target) {
		x.server.Log.Info("failed try says nothing about its target, as this VM reaches no other one", "request", x.id, "target", target)
		return place.Inconclusive
	}
	return place.Failure
}
