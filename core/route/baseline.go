package route

import (
	"sync/atomic"
	"time"

	"kingcuprill/core/target"
)

// LeastLoaded is a baseline policy that prefers the target with the fewest
// requests in flight, by its last load report and this VM's own count.
type LeastLoaded struct{}

// Cost returns the number of requests in flight, as nanoseconds.
func (LeastLoaded) Cost(_ Request, row *target.Target, _ time.Time) time.Duration {
	return time.Duration(row.Live.InFlight.Load() + row.Live.OthersAtReport.Load())
}

// RoundRobin is a baseline policy that prefers the least recently used target.
type RoundRobin struct {
	selections atomic.Int64
	last       [64]atomic.Int64
}

// Cost returns the sequence number of the target's last selection, as
// nanoseconds. Targets whose ids hash to the same slot share it, which is
// accurate enough for a baseline.
func (r *RoundRobin) Cost(_ Request, row *target.Target, _ time.Time) time.Duration {
	return time.Duration(r.last[r.slot(row)].Load())
}

// Chosen records that a target was selected.
func (r *RoundRobin) Chosen(row *target.Target) {
	r.last[r.slot(row)].Store(r.selections.Add(1))
}

func (r *RoundRobin) slot(row *target.Target) uint64 {
	hashes := target.PrefixHashes(row.ID, string(make([]byte, target.PrefixBlock)))
	return hashes[0] % uint64(len(r.last))
}
