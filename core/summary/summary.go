// Package summary defines the load reports that data centres exchange, and the set
// of the newest one of each.
package summary

import (
	"maps"
	"time"
)

// Service is the load of one service in a data centre, in requests.
type Service struct {
	Name     string
	Capacity int
	InFlight int
	Models   []string
}

// Summary is the load report of one data centre.
type Summary struct {
	DataCentre string
	Region     string
	Version    uint64 // Unix nanoseconds by the clock of the reporting VM
	Services   []Service
	Received   time.Time // by the clock of this VM
}

// Set is an immutable set of the newest summaries.
type Set struct {
	ByDataCentre map[string]Summary
}

// With returns a copy of the set that includes the newer summaries, or nil if none
// is newer than what the set holds.
func (s *Set) With(now time.Time, summaries ...Summary) *Set {
	var next *Set
	for _, incoming := range summaries {
		if existing, known := s.ByDataCentre[incoming.DataCentre]; known && existing.Version >= incoming.Version {
			continue
		}
		if next == nil {
			next = &Set{ByDataCentre: maps.Clone(s.ByDataCentre)}
		}
		incoming.Received = now
		next.ByDataCentre[incoming.DataCentre] = incoming
	}
	return next
}
