package instance

import (
	"time"
)

// Fleet combines what several control VMs tell of the targets. Each of them
// hears only the targets that report to it. It is not safe for concurrent use.
type Fleet struct {
	views map[string]*view // by control VM
}

type view struct {
	epoch string
	rows  map[string]Registration
	// kept are the rows of the control VM's last process. Its successor knows a
	// target again with the target's next heartbeat.
	kept      map[string]Registration
	keptUntil time.Time
}

// keepFor is how long the rows of a restarted control VM stay in use.
const keepFor = 8 * time.Second

// NewFleet returns a fleet that knows of no target.
func NewFleet() *Fleet {
	return &Fleet{views: map[string]*view{}}
}

// Update takes in the rows that a control VM has sent. A new epoch tells that
// it has restarted and knows nothing of before.
func (f *Fleet) Update(control, epoch string, rows []Registration, now time.Time) {
	v, found := f.views[control]
	if !found {
		v = &view{epoch: epoch, rows: map[string]Registration{}}
		f.views[control] = v
	}
	if v.epoch != epoch {
		v.kept, v.keptUntil = v.rows, now.Add(keepFor)
		v.epoch, v.rows = epoch, map[string]Registration{}
	}
	for _, row := range rows {
		v.rows[row.ID] = row
	}
}

// Forget drops what a control VM has told.
func (f *Fleet) Forget(control string) {
	delete(f.views, control)
}

// All returns every target that any control VM tells of.
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
		if now.After(v.keptUntil) {
			v.kept = nil
		}
		add(v.kept)
		add(v.rows)
	}
	return all
}
