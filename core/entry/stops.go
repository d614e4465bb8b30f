package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/drain"
)

// startTime covers the start of a VM after a planned stop until it is ready again.
const startTime = 2 * time.Second

// Stops remembers the VMs that make planned stops until they are ready again. It is safe
// for concurrent use.
type Stops struct {
	grace time.Duration
	mu    sync.Mutex
	began map[string]stop // by VM
	now   atomic.Pointer[stopping]
}

// stopping is what is known of the stops at one time.
type stopping struct {
	regions   map[string]bool // from which VMs are expected back
	accepting []VM
}

// stop is a planned stop of a VM.
type stop struct {
	region string
	at     time.Time
}

// NewStops returns a memory without stops of VMs that have a grace period.
func NewStops(grace time.Duration) *Stops {
	s := &Stops{grace: grace, began: map[string]stop{}}
	s.now.Store(&stopping{})
	return s
}

// Note takes the current VMs. One that isn't ready and has an address for callers has
// begun a planned stop.
func (s *Stops) Note(vms []VM, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &stopping{regions: map[string]bool{}}
	for _, v := range vms {
		if v.Ready {
			delete(s.began, v.ID)
		} else if v.CallerAddress != "" && s.accepts(v, now) {
			next.accepting = append(next.accepting, v)
		}
	}
	for _, began := range s.began {
		if now.Sub(began.at) < s.grace+startTime {
			next.regions[began.region] = true
		}
	}
	s.now.Store(next)
}

// accepts records the begin of a VM's planned stop and reports whether it still accepts
// connections. One that has ended, or is of an earlier release, doesn't tell the end of it.
// The caller holds mu.
func (s *Stops) accepts(v VM, now time.Time) bool {
	began, known := s.began[v.ID]
	if !known {
		began = stop{region: v.Region, at: now}
		s.began[v.ID] = began
	}
	return now.Sub(began.at) < drain.AcceptFor(s.grace)
}

// Accepting returns the VMs that make planned stops and still accept connections.
func (s *Stops) Accepting() []VM {
	return s.now.Load().accepting
}

// Returning reports whether VMs of a region are expected back from planned stops.
func (s *Stops) Returning(region string) bool {
	return s.now.Load().regions[region]
}
