// Package instance keeps targets that register themselves by heartbeats:
// which of two reports is newer, who drains, who has fallen silent.
package instance

import (
	"time"
)

// State is what is known of a target.
type State uint8

// States of a target. Of two reports on one start, the higher state counts,
// except that a heartbeat ends a silence.
const (
	Silent   State = iota // no heartbeat for some time
	Ready                 // may get requests
	Draining              // ends what it runs, gets nothing new
	Left                  // has said that it is gone
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"silent", "ready", "draining", "left"}[s]
}

// Registration is a target as it describes itself.
type Registration struct {
	ID         string
	Service    string
	Address    string // host:port
	DataCentre string
	Version    string // of its software
	Slots      int    // requests that it runs at once
	State      State
	Born       int64     // Unix milliseconds of its start; tells one start from the next
	Sequence   int64     // grows with each heartbeat of one start
	ColdUntil  time.Time // until then it bears few requests
	LeaveBy    time.Time // when it is gone, zero where that is not known
	Heard      time.Time // newest heartbeat
}

// coldDrift is the difference between two reports of when a target is warm that
// comes from the way of the messages alone.
const coldDrift = 400 * time.Millisecond

// Merge returns what is known after a report. changed tells that others must
// hear of it, and accepted that the report was not older than what is known.
func Merge(old Registration, found bool, report Registration) (merged Registration, changed, accepted bool) {
	if !found || report.Born > old.Born {
		return report, true, true
	}
	if report.Born < old.Born || (report.Sequence <= old.Sequence && report.State != Left) {
		return old, false, false
	}
	merged = report
	// A start that drains or has left never takes work again.
	if old.State >= Draining {
		merged.State = max(old.State, report.State)
	}
	if report.State == Left {
		merged = old
		merged.State = Left
		merged.Heard = report.Heard
	}
	changed = merged.State != old.State || merged.Address != old.Address || merged.Service != old.Service ||
		merged.DataCentre != old.DataCentre || merged.Slots != old.Slots ||
		merged.ColdUntil.Sub(old.ColdUntil).Abs() > coldDrift && merged.ColdUntil.After(merged.Heard)
	return merged, changed, true
}

// Combine returns what two control VMs together know of a target.
func Combine(a, b Registration) Registration {
	if a.Born != b.Born {
		if a.Born > b.Born {
			return a
		}
		return b
	}
	newer := a
	if b.Sequence > a.Sequence || (b.Sequence == a.Sequence && b.Heard.After(a.Heard)) {
		newer = b
	}
	newer.State = max(a.State, b.State)
	if b.ColdUntil.After(newer.ColdUntil) {
		newer.ColdUntil = b.ColdUntil
	}
	if a.ColdUntil.After(newer.ColdUntil) {
		newer.ColdUntil = a.ColdUntil
	}
	if newer.LeaveBy.IsZero() {
		newer.LeaveBy = a.LeaveBy
	}
	if newer.LeaveBy.IsZero() {
		newer.LeaveBy = b.LeaveBy
	}
	return newer
}
