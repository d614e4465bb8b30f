// Package instance tracks the targets that register themselves by heartbeats at
// the control VMs. It merges reports that arrive late, twice or out of order, so
// that an older report never replaces a newer one and a target that drains or has
// left stays so until its next start, and it marks targets whose heartbeats are
// missing. The state is in memory; heartbeats rebuild it after a restart.
//
// Package target holds the targets that announce themselves to each VM instead.
package instance

import (
	"fmt"
	"time"
)

// State is the lifecycle state of a target.
type State uint8

// States of a target. Of two control VMs' reports on one start the higher state
// counts. A new heartbeat makes a silent target ready again. VMs send the numbers to
// each other.
const (
	Silent   State = iota // no heartbeat for some time
	Ready                 // may get requests
	Draining              // finishes its requests, gets no new ones
	Left                  // has reported that it has stopped
)

// String returns the state in lower case.
func (s State) String() string {
	names := [...]string{"silent", "ready", "draining", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Registration is a target's description of itself, from its newest report.
type Registration struct {
	ID         string
	Service    string
	Address    string // host:port
	DataCentre string
	Version    string // of its software
	Slots      int    // requests that it runs concurrently
	State      State
	Born       int64     // Unix milliseconds of its start; tells one start from the next
	Sequence   int64     // grows with each heartbeat of one start
	ColdUntil  time.Time // until then it can take few requests
	LeaveBy    time.Time // when it will be stopped, zero if not known
	Heard      time.Time // time of the newest heartbeat
}

// coldTolerance is the difference in ColdUntil between two reports that message
// latency alone can cause.
const coldTolerance = 400 * time.Millisecond

// Merge returns the registration after a report. changed reports whether the
// change must be published. accepted is false if the report was ignored: it is of
// an earlier start, or not newer than old and no leave report.
func Merge(old Registration, found bool, report Registration) (merged Registration, changed, accepted bool) {
	if !found || report.Born > old.Born {
		return report, true, true
	}
	if report.Born < old.Born || (report.Sequence <= old.Sequence && report.State != Left) {
		return old, false, false
	}
	merged = report
	// A target that drains or has left never gets requests again before its next start.
	if old.State >= Draining {
		merged.State = max(old.State, report.State)
	}
	if report.State == Left {
		merged = old
		merged.State = Left
		merged.Heard = report.Heard
	}
	changed = merged.State != old.State || merged.Address != old.Address || merged.Service != old.Service ||
		merged.DataCentre != old.DataCentre || merged.Version != old.Version || merged.Slots != old.Slots ||
		merged.ColdUntil.Sub(old.ColdUntil).Abs() > coldTolerance && merged.ColdUntil.After(merged.Heard)
	return merged, changed, true
}

// Combine merges two control VMs' registrations of a target.
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
