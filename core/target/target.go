// Package target keeps the targets that have announced themselves to this VM:
// model engines and plain services of its data centre.
package target

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"kingcuprill/core/blackboard"
	"kingcuprill/core/circuit"
)

// Kind tells which protocol a target speaks.
type Kind string

// Kinds of targets.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Load is what a target reports of itself, with a lag.
type Load struct {
	Running  int
	Waiting  int
	Measured time.Time
}

// Announcement is what a target says of itself.
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
	Capacity      int // requests that run at once
	Load          Load
	ChecksFencing bool
}

// Live is the part of a target that changes with each request. All snapshots
// of the table share it.
type Live struct {
	InFlight       atomic.Int64 // this VM's own requests
	Suspects       atomic.Int64 // own requests that were in flight at a crash before, one at most
	OthersAtReport atomic.Int64 // load of other VMs when the target last reported
	Circuit        circuit.Breaker
	Prefixes       PrefixSet
	Since          time.Time // first announcement of this boot
}

// TakeSuspect lets one request run that was in flight at a crash. A second one
// beside it would hide which of them crashes targets. LeaveSuspect must follow.
func (l *Live) TakeSuspect() bool {
	return l.Suspects.CompareAndSwap(0, 1)
}

// LeaveSuspect tells that the request has ended.
func (l *Live) LeaveSuspect() {
	l.Suspects.Add(-1)
}

// Target is one row of the table.
type Target struct {
	Announcement
	LeaseUntil time.Time
	Leaving    bool
	Live       *Live
}

// Serves tells whether the target may get new work for a model; an empty model
// asks for any.
func (t *Target) Serves(model string, now time.Time) bool {
	if t.Leaving || !now.Before(t.LeaseUntil) {
		return false
	}
	return model == "" || slices.Contains(t.Models, model)
}

// Snapshot is an immutable picture of the targets.
type Snapshot struct {
	ByID      map[string]*Target
	ByService map[string][]*Target
}

// Table holds the targets of a VM.
type Table struct {
	View  *blackboard.Section[Snapshot]
	Lease time.Duration
}

// NewTable returns an empty table.
func NewTable(lease time.Duration) *Table {
	return &Table{View: blackboard.NewSection(&Snapshot{ByID: map[string]*Target{}}), Lease: lease}
}

// Announce adds a target or renews its lease. A boot that has said that it
// leaves stays leaving, also when an older announcement comes late. It tells
// whether the target is new or has started anew.
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

// Leave marks a boot of a target as leaving: it gets no new work.
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

// expiredKept is how long the row of a target without a lease is kept.
const expiredKept = time.Minute

// Expire drops targets that have not announced themselves for long.
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
