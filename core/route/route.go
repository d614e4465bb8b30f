// Package route chooses where a request runs: a target of the own data centre
// or another data centre.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"kingcuprill/core/residency"
	"kingcuprill/core/target"
)

// Weights set what a deployment cares for. All are costs that are compared as
// times.
type Weights struct {
	ServiceTime   time.Duration // mean time of one request at a target
	ColdByte      time.Duration // reading one byte of a prompt that is not cached
	AwayPenalty   time.Duration // sending a request to another region
	LinkLatency   time.Duration // one way to another region
	LocalLatency  time.Duration // one way to another data centre of the region
	ReportHalving time.Duration // after which a load report counts half
	RampTime      time.Duration // during which a target that has started takes less
}

// Request is what a choice depends on.
type Request struct {
	Service   string
	Model     string
	Prefixes  []uint64 // of the prompt
	Bytes     int      // of the prompt
	Permitted residency.Permitted
	Suspect   bool     // was in flight at a target that crashed
	Avoid     []string // targets and VMs that have failed this request
}

// Policy gives each candidate a cost; the lowest is chosen.
type Policy[C any] interface {
	Cost(request Request, candidate C, now time.Time) time.Duration
}

// sampled is how many targets are compared for one request.
const sampled = 8

// Choose returns the candidate with the lowest cost.
func Choose[C any](policy Policy[C], request Request, candidates []C, now time.Time) (best C, cost time.Duration, found bool) {
	for _, candidate := range candidates {
		candidateCost := policy.Cost(request, candidate, now)
		if !found || candidateCost < cost {
			best, cost, found = candidate, candidateCost, true
		}
	}
	return best, cost, found
}

// Eligible returns a sample of the targets that may run a request. Requests
// with the same prefix of their prompt start at the same place of the table, so
// that their sample holds the targets that have it cached.
func Eligible(snapshot *target.Snapshot, request Request, now time.Time) []*target.Target {
	rows := snapshot.ByService[request.Service]
	eligible := make([]*target.Target, 0, min(sampled, len(rows)))
	start := firstOfSample(request, len(rows))
	for i := range rows {
		row := rows[(start+i)%len(rows)]
		if len(eligible) == sampled {
			break
		}
		if !row.Serves(request.Model, now) || slices.Contains(request.Avoid, row.ID) {
			continue
		}
		if !row.Live.Circuit.Ready() {
			continue
		}
		if request.Suspect && row.Live.Suspects.Load() > 0 {
			continue // a second suspect beside it would hide which one crashes targets
		}
		eligible = append(eligible, row)
	}
	return eligible
}

func firstOfSample(request Request, rows int) int {
	if rows == 0 {
		return 0
	}
	if len(request.Prefixes) > 0 {
		return int(request.Prefixes[0] % uint64(rows))
	}
	return rand.IntN(rows)
}

// Predicted weighs the predicted wait, the cold part of the prompt and a ramp
// after a target's start.
type Predicted struct {
	Weights Weights
}

// Cost returns the predicted time until the target starts to answer.
func (p Predicted) Cost(request Request, row *target.Target, now time.Time) time.Duration {
	load := p.load(row, now) + 1
	capacity := p.capacity(row, now)
	busy := load / capacity
	wait := time.Duration(busy * float64(p.Weights.ServiceTime))
	if busy > 1 {
		wait += time.Duration((busy - 1) * float64(p.Weights.ServiceTime))
	}
	cold := max(0, request.Bytes-row.Live.Prefixes.Cached(request.Prefixes))
	return wait + time.Duration(cold)*p.Weights.ColdByte
}

// load adds this VM's own requests to those of others, which count less the
// older the report is.
func (p Predicted) load(row *target.Target, now time.Time) float64 {
	others := float64(row.Live.OthersAtReport.Load())
	if halving := p.Weights.ReportHalving; halving > 0 {
		age := max(0, now.Sub(row.Load.Measured))
		others /= 1 + age.Seconds()/halving.Seconds()
	}
	return float64(row.Live.InFlight.Load()) + others
}

// capacity grows from a quarter to the whole while a target's cache is cold.
func (p Predicted) capacity(row *target.Target, now time.Time) float64 {
	capacity := float64(max(1, row.Capacity))
	age := now.Sub(row.Live.Since)
	if p.Weights.RampTime <= 0 || age >= p.Weights.RampTime {
		return capacity
	}
	return capacity * (0.25 + 0.75*age.Seconds()/p.Weights.RampTime.Seconds())
}

// Remote is another data centre as its summary tells.
type Remote struct {
	DataCentre string
	Region     string
	Capacity   int
	InFlight   int
	SameRegion bool
	Reported   time.Time
}

// Away weighs data centres: predicted wait, link and the penalty for leaving
// the region.
type Away struct {
	Weights Weights
}

// Cost returns the predicted time until the data centre starts to answer.
func (a Away) Cost(request Request, remote Remote, _ time.Time) time.Duration {
	busy := float64(remote.InFlight+1) / float64(max(1, remote.Capacity))
	wait := time.Duration(busy * float64(a.Weights.ServiceTime))
	if busy > 1 {
		wait += time.Duration((busy - 1) * float64(a.Weights.ServiceTime))
	}
	cold := time.Duration(request.Bytes) * a.Weights.ColdByte
	if remote.SameRegion {
		return wait + cold + 2*a.Weights.LocalLatency
	}
	return wait + cold + 2*a.Weights.LinkLatency + a.Weights.AwayPenalty
}
