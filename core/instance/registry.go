package instance

import (
	"time"

	"kingcuprill/core/versioned"
)

const (
	// missedHeartbeats is the number of heartbeat periods without a report after
	// which a target counts as silent.
	missedHeartbeats = 3
	// endedKeptFor is how long the rows of targets that aren't ready are kept. It
	// is longer than a heartbeat can be in transit.
	endedKeptFor = 2 * time.Minute
	// returnPublishedFor is how long after an evacuation all heartbeats are published. Entry
	// VMs that were cut off hear of its end seconds later than others.
	returnPublishedFor = 12 * time.Second
)

// Registry is the table of the targets that report to one control VM. Calls
// must come from one goroutine at a time; readers use Table.
type Registry struct {
	Table  *versioned.Table[Registration]
	period time.Duration
	// ended is when the last evacuation of a data centre ended.
	ended map[string]time.Time
}

// NewRegistry returns an empty registry of targets that send a heartbeat in
// every period.
func NewRegistry(period time.Duration) *Registry {
	return &Registry{Table: versioned.NewTable[Registration](), period: period, ended: map[string]time.Time{}}
}

// Report records a heartbeat or a leave report (State is Left). It returns the
// registration that results and whether its change must be published.
func (r *Registry) Report(report Registration) (merged Registration, changed bool) {
	old, found := r.Table.Get(report.ID)
	if !found && report.State == Left && report.Address == "" {
		// A target that never reported here has left: a heartbeat that is still in
		// transit must not register it.
		r.put(report, true)
		return report, true
	}
	merged, changed, accepted := Merge(old, found, report)
	if !accepted {
		return old, false
	}
	r.put(merged, changed || r.confirmsReturn(merged))
	return merged, changed
}

// EndEvacuation notes that the evacuation of a data centre has ended. The next heartbeats of
// its targets are published even if they say nothing new, as entry VMs take a target that
// they haven't heard of since for cold.
func (r *Registry) EndEvacuation(dataCentre string, now time.Time) {
	r.ended[dataCentre] = now
}

// confirmsReturn reports whether a heartbeat is among those that are published after an
// evacuation. An entry VM may hear of its end later than this VM.
func (r *Registry) confirmsReturn(row Registration) bool {
	ended, found := r.ended[row.DataCentre]
	return found && row.State == Ready && row.Heard.Sub(ended) < returnPublishedFor
}

func (r *Registry) put(row Registration, publish bool) {
	r.Table.Put(row.ID, row, publish)
}

// Expire marks targets as silent whose heartbeats are missing, and deletes old
// rows of targets that aren't ready. It returns the newly silent targets.
func (r *Registry) Expire(now time.Time) (silent []Registration) {
	for id, row := range r.Table.Rows() {
		age := now.Sub(row.Heard)
		switch {
		case row.State == Ready && age > missedHeartbeats*r.period:
			row.State = Silent
			r.put(row, true)
			silent = append(silent, row)
		case row.State != Ready && age > endedKeptFor:
			r.Table.Delete(id)
		}
	}
	return silent
}
