// Package route selects where a request runs: a target in the VM's own data
// centre, or another data centre to forward it to. A policy estimates the cost
// of each candidate as a time until the answer starts, and the candidate with
// the lowest cost is chosen. The package only reads: it reserves nothing at the
// chosen target, so concurrent requests may choose the same one.
//
// It serves requests of a catalogue.Route. For those of a plan.Route, package place
// selects the target.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"kingcuprill/core/residency"
	"kingcuprill/core/target"
)

// Weights are the parameters of the cost estimates, set by the operator.
type Weights struct {
	ServiceTime   time.Duration // mean time of one request at a target
	ColdByte      time.Duration // processing one byte of a prompt that is not cached
	AwayPenalty   time.Duration // added for a request that leaves the region
	LinkLatency   time.Duration // one way to another region
	LocalLatency  time.Duration // one way to another data centre of the region
	ReportHalving time.Duration // age at which a load report counts half; 0: no ageing
	RampTime      time.Duration // from a target's start until its full capacity counts
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Service   string
	Model     string
	Prefixes  []uint64 // hashes of the prompt's prefixes
	Bytes     int      // length of the prompt
	Permitted residency.Permitted
	// SameVersion restricts the choice to targets whose software has Version.
	SameVersion bool
	Version     string
	Suspect     bool     // was in flight at a target that crashed
	Avoid       []string // ids of targets and VMs that have failed this request
	// Allows reports whether this VM may send a request to a target now. If it is nil,
	// it may to all.
	Allows func(t *target.Target) bool
}

// Policy estimates the cost of sending a request to a candidate.
type Policy[C any] interface {
	Cost(request Request, candidate C, now time.Time) time.Duration
}

// sampleSize is the number of targets compared for one request.
const sampleSize = 8

// Choose returns the candidate with the lowest cost, the first of them on a
// tie. found is false if there are no candidates.
func Choose[C any](policy Policy[C], request Request, candidates []C, now time.Time) (best C, cost time.Duration, found bool) {
	for _, candidate := range candidates {
		candidateCost := policy.Cost(request, candidate, now)
		if !found || candidateCost < cost {
			best, cost, found = candidate, candidateCost, true
		}
	}
	return best, cost, found
}

// Eligible returns a sample of the targets that may run a request. The scan
// starts at a position derived from the prompt's first prefix hash, so that
// requests with the same prefix see the same sample, which holds the targets
// that have the prefix cached. Requests without prefixes start at random.
func Eligible(snapshot *target.Snapshot, request Request, now time.Time) []*target.Target {
	rows := snapshot.ByService[request.Service]
	eligible := make([]*target.Target, 0, min(sampleSize, len(rows)))
	start := sampleStart(request, len(rows))
	for i := range rows {
		row := rows[(start+i)%len(rows)]
		if len(eligible) == sampleSize {
			break
		}
		if !row.Serves(request.Model, now) || request.SameVersion && row.Version != request.Version || slices.Contains(request.Avoid, row.ID) {
			continue
		}
		if !row.Live.Circuit.Ready() || (request.Allows != nil && !request.Allows(row)) {
			continue
		}
		if request.Suspect && row.Live.Suspects.Load() > 0 {
			continue // with two suspects on one target, a crash would not tell which one caused it
		}
		eligible = append(eligible, row)
	}
	return eligible
}

func sampleStart(request Request, rows int) int {
	if rows == 0 {
		return 0
	}
	if len(request.Prefixes) > 0 {
		return int(request.Prefixes[0] % uint64(rows))
	}
	return rand.IntN(rows)
}

// Predicted is the default policy for targets. It adds the predicted wait in
// the queue and the time to process the uncached part of the prompt, and
// reduces the capacity of targets that have just started.
type Predicted struct {
	Weights Weights
}

// Cost returns the predicted time until the target starts to answer.
func (p Predicted) Cost(request Request, row *target.Target, now time.Time) time.Duration {
	load := p.load(row, now) + 1
	capacity := p.capacity(row, now)
	utilisation := load / capacity
	wait := time.Duration(utilisation * float64(p.Weights.ServiceTime))
	if utilisation > 1 {
		wait += time.Duration((utilisation - 1) * float64(p.Weights.ServiceTime))
	}
	uncached := max(0, request.Bytes-row.Live.Prefixes.Cached(request.Prefixes))
	return wait + time.Duration(uncached)*p.Weights.ColdByte
}

// load returns the target's requests in flight: this VM's own, which are
// exact, and those of other VMs by the last load report, which count less the
// older the report is.
func (p Predicted) load(row *target.Target, now time.Time) float64 {
	others := float64(row.Live.OthersAtReport.Load())
	if halving := p.Weights.ReportHalving; halving > 0 {
		age := max(0, now.Sub(row.Load.Measured))
		others /= 1 + age.Seconds()/halving.Seconds()
	}
	return float64(row.Live.InFlight.Load()) + others
}

// capacity returns the requests that a target runs at once. It grows linearly
// from a quarter to the full capacity during RampTime after the target's start,
// while its cache is cold.
func (p Predicted) capacity(row *target.Target, now time.Time) float64 {
	capacity := float64(max(1, row.Capacity))
	age := now.Sub(row.Live.Since)
	if p.Weights.RampTime <= 0 || age >= p.Weights.RampTime {
		return capacity
	}
	return capacity * (0.25 + 0.75*age.Seconds()/p.Weights.RampTime.Seconds())
}

// Remote is the load of another data centre by its last summary.
type Remote struct {
	DataCentre string
	Region     string
	Capacity   int
	InFlight   int
	SameRegion bool
	Reported   time.Time
}

// PredictedRemote is the policy for other data centres. It adds the predicted
// wait, the time to process the whole prompt, the round trip of the link and,
// outside the region, the penalty for leaving it.
type PredictedRemote struct {
	Weights Weights
}

// Cost returns the predicted time until the data centre starts to answer.
func (p PredictedRemote) Cost(request Request, remote Remote, _ time.Time) time.Duration {
	utilisation := float64(remote.InFlight+1) / float64(max(1, remote.Capacity))
	wait := time.Duration(utilisation * float64(p.Weights.ServiceTime))
	if utilisation > 1 {
		wait += time.Duration((utilisation - 1) * float64(p.Weights.ServiceTime))
	}
	promptTime := time.Duration(request.Bytes) * p.Weights.ColdByte
	if remote.SameRegion {
		return wait + promptTime + 2*p.Weights.LocalLatency
	}
	return wait + promptTime + 2*p.Weights.LinkLatency + p.Weights.AwayPenalty
}
