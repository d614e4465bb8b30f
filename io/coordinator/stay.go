package coordinator

import (
	"time"

	"kingcuprill/core/place"
	"kingcuprill/rpc/entry"
)

// Stay is a reservation that a request of this VM holds at a target that another
// VM coordinates. It must not be used by several goroutines at once.
type Stay struct {
	client      *Client
	coordinator string // address
	reservation uint64
	target      string
	address     string
	source      string

	begun       bool
	events      int
	first, last time.Time
}

// Where returns the target's id and address.
func (s *Stay) Where() (id, address string) {
	return s.target, s.address
}

// Source returns the address of the target from which the memory of the shared
// prompt parts is to be fetched, or an empty string if nothing is fetched.
func (s *Stay) Source() string {
	return s.source
}

// Answered reports to the coordinator that the answer has begun.
func (s *Stay) Answered(time.Time) {
	if s.begun {
		return
	}
	s.begun = true
	s.client.report(s.coordinator, &entry.Progress{Reservation: s.reservation, Begun: true})
}

// Event counts an event of a stream.
func (s *Stay) Event(now time.Time) {
	if s.events == 0 {
		s.first = now
	}
	s.events++
	s.last = now
}

// Done ends the reservation and reports the result and the mean time between
// events to the coordinator.
func (s *Stay) Done(result place.Result, _ time.Time) {
	ended := &entry.Progress{Reservation: s.reservation, Ended: true, Result: uint32(result), Events: int64(s.events)}
	if s.events > 1 {
		ended.GapNanoseconds = int64(s.last.Sub(s.first)) / int64(s.events-1)
	}
	s.client.report(s.coordinator, ended)
}
