package instance

import (
	"time"

	"kingcuprill/core/versioned"
)

const (
	// silentBeats is the number of heartbeats that may be missing before a
	// target counts as silent.
	silentBeats = 3
	// forgetAfter keeps the rows of ended targets for longer than a heartbeat
	// can be under way.
	forgetAfter = 2 * time.Minute
)

// Registry is the table of the targets that report to one control VM. Calls
// must come from one goroutine at a time; readers use Table.
type Registry struct {
	Table *versioned.Table[Registration]
	beat  time.Duration
}

// NewRegistry returns an empty registry of targets that send a heartbeat in
// each period.
func NewRegistry(beat time.Duration) *Registry {
	return &Registry{Table: versioned.NewTable[Registration](), beat: beat}
}

// Report takes in a heartbeat or a farewell. It returns what is known now and
// whether that is a change.
func (r *Registry) Report(report Registration) (merged Registration, changed bool) {
	old, found := r.Table.Get(report.ID)
	if !found && report.State == Left && report.Address == "" {
		// The farewell of a target that never reported here: its id must not come
		// into use by a heartbeat that is still under way.
		r.put(report, true)
		return report, true
	}
	merged, changed, accepted := Merge(old, found, report)
	if !accepted {
		return old, false
	}
	r.put(merged, changed)
	return merged, changed
}

func (r *Registry) put(row Registration, loud bool) {
	r.Table.Put(row.ID, row, loud)
}

// Expire marks targets as silent and forgets ended ones. It returns the
// targets that have just fallen silent.
func (r *Registry) Expire(now time.Time) (silent []Registration) {
	for id, row := range r.Table.Rows() {
		age := now.Sub(row.Heard)
		switch {
		case row.State == Ready && age > silentBeats*r.beat:
			row.State = Silent
			r.put(row, true)
			silent = append(silent, row)
		case row.State != Ready && age > forgetAfter:
			r.Table.Delete(id)
		}
	}
	return silent
}
