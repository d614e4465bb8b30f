// Package summary holds what data centres tell each other of their load.
package summary

import (
	"maps"
	"time"
)

// Service is the load of one service in a data centre.
type Service struct {
	Name     string
	Capacity int
	InFlight int
	Models   []string
}

// Summary is one data centre's report.
type Summary struct {
	DataCentre string
	Region     string
	Version    uint64 // Unix nanoseconds at the reporter
	Services   []Service
	Received   time.Time
}

// Set is an immutable set of the newest summaries.
type Set struct {
	ByDataCentre map[string]Summary
}

// With returns the set with newer summaries taken in, and nil if none is.
func (s *Set) With(now time.Time, summaries ...Summary) *Set {
	var next *Set
	for _, fresh := range summaries {
		if old, known := s.ByDataCentre[fresh.DataCentre]; known && old.Version >= fresh.Version {
			continue
		}
		if next == nil {
			next = &Set{ByDataCentre: maps.Clone(s.ByDataCentre)}
		}
		fresh.Received = now
		next.ByDataCentre[fresh.DataCentre] = fresh
	}
	return next
}
