package instance

import (
	"time"
)

// Fleet merges the registrations of several control VMs. Each of them gets the
// reports of only some targets. It is not safe for concurrent use.
type Fleet struct {
	views map[string]*view // by control VM
}

type view struct {
	epoch string
	rows  map[string]Registration
	// previous holds the rows from before the control VM's last restart. The new
	// process learns of a target with the target's next heartbeat.
	previous      map[string]Registration
	previousUntil time.Time
}

// restartGrace is how long the rows from before a control VM's restart are used.
const restartGrace = 8 * time.Second

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{views: map[string]*view{}}
}

// Update adds the rows that a control VM has sent. A new epoch means that it has
// restarted and lost its earlier rows.
func (f *Fleet) Update(control, epoch string, rows []Registration, now time.Time) {
	v, found := f.views[control]
	if !found {
		v = &view{epoch: epoch, rows: map[string]Registration{}}
		f.views[control] = v
	}
	if v.epoch != epoch {
		v.previous, v.previousUntil = v.rows, now.Add(restartGrace)
		v.epoch, v.rows = epoch, map[string]Registration{}
	}
	for _, row := range rows {
		v.rows[row.ID] = row
	}
}

// Forget drops the rows of a control VM.
func (f *Fleet) Forget(control string) {
	delete(f.views, control)
}

// All returns every target that any control VM has reported, merged, by id.
func (f *Fleet) All(now time.Time) map[string]Registration {
	all := map[string]Registration{}
	add := func(rows map[string]Registration) {
		for id, row := range rows {
			if known, found := all[id]; found {
				row = Combine(known, row)
			}
			all[id] = row
		}
	}
	for _, v := range f.views {
		if now.After(v.previousUntil) {
			v.previous = nil
		}
		add(v.previous)
		add(v.rows)
	}
	return all
}
