package route

import (
	"sync/atomic"
	"time"

	"kingcuprill/core/target"
)

// LeastLoaded is a baseline: the target with the fewest requests by its report
// and this VM's own count.
type LeastLoaded struct{}

// Cost returns the load as a time.
func (LeastLoaded) Cost(_ Request, row *target.Target, _ time.Time) time.Duration {
	return time.Duration(row.Live.InFlight.Load() + row.Live.OthersAtReport.Load())
}

// RoundRobin is a baseline: each target in turn.
type RoundRobin struct {
	turn atomic.Int64
	last [64]atomic.Int64
}

// Cost returns how recently a target was chosen. Targets whose ids hash alike
// share a place, which a baseline can bear.
func (r *RoundRobin) Cost(_ Request, row *target.Target, _ time.Time) time.Duration {
	return time.Duration(r.last[r.place(row)].Load())
}

// Chosen notes that a target was taken.
func (r *RoundRobin) Chosen(row *target.Target) {
	r.last[r.place(row)].Store(r.turn.Add(1))
}

func (r *RoundRobin) place(row *target.Target) uint64 {
	hashes := target.PrefixHashes(row.ID, string(make([]byte, target.PrefixBlock)))
	return hashes[0] % uint64(len(r.last))
}
