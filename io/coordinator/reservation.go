package coordinator

import (
	"time"

	"kingcuprill/core/place"
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

	begun       bool
	events      int
	first, last time.Time
}

// Where returns the target's id and address.
func (r *Reservation) Where() (id, address string) {
	return r.target, r.address
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
	r.client.report(r.coordinator, &entry.Progress{Reservation: r.id, Begun: true})
}

// Event counts an event of a stream.
func (r *Reservation) Event(now time.Time) {
	if r.events == 0 {
		r.first = now
	}
	r.events++
	r.last = now
}

// Done ends the reservation and reports the result and the mean time between
// events to the coordinator.
func (r *Reservation) Done(result place.Result, _ time.Time) {
	ended := &entry.Progress{Reservation: r.id, Ended: true, Result: uint32(result), Events: int64(r.events)}
	if r.events > 1 {
		ended.GapNanoseconds = int64(r.last.Sub(r.first)) / int64(r.events-1)
	}
	r.client.report(r.coordinator, ended)
}
