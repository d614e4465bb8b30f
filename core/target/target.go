// Package target holds the table of the targets that have announced themselves to
// this VM: model engines and plain services of its data centre. Each announcement
// renews a lease; a target without a lease, or one that leaves, gets no new
// requests. Readers use immutable snapshots without locks; counters that change
// with each request are shared by all snapshots.
//
// Package instance tracks the targets that register at the control VMs instead.
package target

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"kingcuprill/core/circuit"
	"kingcuprill/core/watch"
)

// Kind is the protocol of a target.
type Kind string

// Kinds of targets.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Load is the load in requests that a target reports, with a delay.
type Load struct {
	Running  int
	Waiting  int
	Measured time.Time
}

// Announcement is a target's description of itself.
type Announcement struct {
	ID            string
	BootID        string // changes at each start of the target
	Service       string
	Kind          Kind
	Address       string // host:port
	Region        string
	DataCentre    string
	Models        []string
	Adapters      []string
	Version       string
	Role          string
	Capacity      int // requests that run concurrently
	Load          Load
	ChecksFencing bool
}

// Live is the state of a target that changes with each request. All snapshots of
// the table share it.
type Live struct {
	InFlight       atomic.Int64 // this VM's own requests
	Suspects       atomic.Int64 // this VM's running requests that were in flight at an earlier crash, at most one
	OthersAtReport atomic.Int64 // requests of other VMs when the target last reported
	Circuit        circuit.Breaker
	Prefixes       PrefixSet
	Limit          RequestLimit
	Since          time.Time // first announcement of this boot
}

// AdmitSuspect admits one request that was in flight at an earlier crash. It
// returns false while another one runs, as a crash would not show which of them
// caused it. After true, ReleaseSuspect must be called.
func (l *Live) AdmitSuspect() bool {
	return l.Suspects.CompareAndSwap(0, 1)
}

// ReleaseSuspect records that the request admitted by AdmitSuspect has ended.
func (l *Live) ReleaseSuspect() {
	l.Suspects.Add(-1)
}

// Target is one row of the table.
type Target struct {
	Announcement
	LeaseUntil time.Time
	Leaving    bool // has announced that it will stop
	Live       *Live
}

// Serves reports whether the target may get new requests for a model, or for any
// model if it is empty.
func (t *Target) Serves(model string, now time.Time) bool {
	if t.Leaving || !now.Before(t.LeaseUntil) {
		return false
	}
	return model == "" || slices.Contains(t.Models, model)
}

// Snapshot is an immutable copy of the table.
type Snapshot struct {
	ByID      map[string]*Target
	ByService map[string][]*Target
}

// Table holds the targets of a VM.
type Table struct {
	View  *watch.Value[Snapshot]
	Lease time.Duration // from each announcement
}

// NewTable returns an empty table.
func NewTable(lease time.Duration) *Table {
	return &Table{View: watch.NewValue(&Snapshot{ByID: map[string]*Target{}}), Lease: lease}
}

// Announce adds a target or renews its lease. A boot that is leaving stays so,
// even if an older announcement arrives late. fresh reports whether the target is
// new or has restarted.
func (t *Table) Announce(a Announcement, now time.Time) (fresh bool) {
	t.View.Update(func(s *Snapshot) *Snapshot {
		next := &Target{Announcement: a, LeaseUntil: now.Add(t.Lease)}
		old := s.ByID[a.ID]
		fresh = old == nil || old.BootID != a.BootID
		if fresh {
			next.Live = &Live{Since: now}
		} else {
			next.Live = old.Live
			next.Leaving = old.Leaving
		}
		others := int64(a.Load.Running+a.Load.Waiting) - next.Live.InFlight.Load()
		next.Live.OthersAtReport.Store(max(0, others))
		return s.with(next)
	})
	return fresh
}

// Leave marks a boot of a target as leaving, so that it gets no new requests.
// known reports whether that boot is in the table.
func (t *Table) Leave(id, bootID string) (known bool) {
	t.View.Update(func(s *Snapshot) *Snapshot {
		old := s.ByID[id]
		if old == nil || old.BootID != bootID {
			return nil
		}
		known = true
		next := *old
		next.Leaving = true
		return s.with(&next)
	})
	return known
}

// expiredKept is how long a target's row is kept after its lease has expired.
const expiredKept = time.Minute

// Expire deletes targets whose lease expired longer than expiredKept ago and that
// run no request of this VM.
func (t *Table) Expire(now time.Time) {
	t.View.Update(func(s *Snapshot) *Snapshot {
		rows := maps.Clone(s.ByID)
		maps.DeleteFunc(rows, func(_ string, row *Target) bool {
			return now.Sub(row.LeaseUntil) > expiredKept && row.Live.InFlight.Load() == 0
		})
		if len(rows) == len(s.ByID) {
			return nil
		}
		return newSnapshot(rows)
	})
}

func (s *Snapshot) with(row *Target) *Snapshot {
	rows := make(map[string]*Target, len(s.ByID)+1)
	maps.Copy(rows, s.ByID)
	rows[row.ID] = row
	return newSnapshot(rows)
}

func newSnapshot(rows map[string]*Target) *Snapshot {
	s := &Snapshot{ByID: rows, ByService: map[string][]*Target{}}
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		row := rows[id]
		s.ByService[row.Service] = append(s.ByService[row.Service], row)
	}
	return s
}
