package coordinator

import (
	"time"

	"kingcuprill/core/brittle"
	"kingcuprill/core/place"
	"kingcuprill/core/targetlimit"
	"kingcuprill/rpc/entry"
)

// Reservation is a place that a request of this VM holds at a target that another
// VM coordinates. It must not be used by several goroutines at once.
type Reservation struct {
	client      *Client
	coordinator string // address
	id          uint64
	target      string
	address     string
	source      string
	version     string
	engine      bool // the target is an engine

	begun    bool
	events   int       // so far
	reported int       // of these, events whose gaps were reported
	since    time.Time // last event whose gap was reported
	last     time.Time // last event
}

// firstReport is the number of events of a stream after which its progress is first
// reported. It is reported again each time the number has grown to reportGrowth times.
const (
	firstReport  = 4
	reportGrowth = 4
)

// report sends progress with the next call to the coordinator.
func (r *Reservation) report(progress *entry.Progress) {
	delay := reportDelay
	if r.engine && r.client.SaveCalls {
		delay = engineReportDelay
	}
	r.client.report(r.coordinator, progress, delay)
}

// Where returns the target's id and address.
func (r *Reservation) Where() (id, address string) {
	return r.target, r.address
}

// Version returns the version of the target's software.
func (r *Reservation) Version() string {
	return r.version
}

// Source returns the address of the target from which the memory of the shared
// prompt parts is to be fetched, or an empty string if nothing is fetched.
func (r *Reservation) Source() string {
	return r.source
}

// Answered reports to the coordinator that the answer has begun.
func (r *Reservation) Answered(time.Time) {
	if r.begun {
		return
	}
	r.begun = true
	r.report(&entry.Progress{Reservation: r.id, Begun: true})
}

// ObserveLimit reports to the coordinator what the head of the answer says about the
// target's limit.
func (r *Reservation) ObserveLimit(n targetlimit.Notice, _ time.Time) {
	r.report(&entry.Progress{Reservation: r.id, Limit: &entry.LimitNotice{Named: n.Named, RatePerSecond: n.Rate}})
}

// ObserveLeaving reports to the coordinator that the target leaves.
func (r *Reservation) ObserveLeaving(time.Time) {
	r.report(&entry.Progress{Reservation: r.id, Leaving: true})
}

// ObserveBrittle reports to the coordinator what the head of the answer says about the
// refusals that the target survives.
func (r *Reservation) ObserveBrittle(n brittle.Notice, _ time.Time) {
	r.report(&entry.Progress{Reservation: r.id, Brittle: &entry.BrittleNotice{Named: n.Named, Most: int32(n.Most)}})
}

// Event counts an event of a stream, and reports the progress of the stream now and
// then. The coordinator learns from it early how slow the target's streams are; a
// stream takes seconds, in which many more requests are placed.
func (r *Reservation) Event(now time.Time) {
	if r.events == 0 {
		r.since, r.reported = now, 1
	}
	r.events++
	r.last = now
	if r.events >= max(firstReport, reportGrowth*r.reported) {
		r.report(r.progress())
	}
}

// progress returns a report of the events since the last one, and their mean gap.
func (r *Reservation) progress() *entry.Progress {
	p := &entry.Progress{Reservation: r.id}
	if gaps := r.events - r.reported; gaps > 0 {
		p.Events = int64(gaps + 1)
		p.GapNanoseconds = int64(r.last.Sub(r.since)) / int64(gaps)
		r.reported, r.since = r.events, r.last
	}
	return p
}

// Done ends the reservation and reports the result and the mean time between the last
// events to the coordinator.
func (r *Reservation) Done(result place.Result, _ time.Time) {
	ended := r.progress()
	ended.Ended, ended.Result = true, uint32(result)
	r.report(ended)
}
