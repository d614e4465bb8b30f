// Package coordinator lets the entry VMs of a region share the load of its
// targets: one VM coordinates each target, gives out places there, and so knows
// all of its load.
package coordinator

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"kingcuprill/core/place"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/entry"
)

const (
	// maxBody bounds one call, in bytes.
	maxBody = 256 << 10
	// endMargin is how long after its request's deadline a reservation is kept.
	endMargin = time.Second
)

// Server gives out places at the targets that this VM coordinates.
type Server struct {
	Placer *place.Placer
	// Evacuated tells which data centres get no requests.
	Evacuated func() map[string]bool
	Log       *slog.Logger

	mu       sync.Mutex
	last     uint64 // reservation
	reserved map[uint64]*reservation
}

type reservation struct {
	visit *place.Assignment
	until time.Time
}

// NewServer returns a server without reservations.
func NewServer(placer *place.Placer, evacuated func() map[string]bool, log *slog.Logger) *Server {
	return &Server{Placer: placer, Evacuated: evacuated, Log: log, reserved: map[uint64]*reservation{}}
}

// Handler returns the routes of the calls between entry VMs.
func (s *Server) Handler(credentials peer.Credentials) http.Handler {
	return credentials.Middleware(maxBody, entry.NewEntryServer(s))
}

// Reserve gives a place to a request of another VM.
func (s *Server) Reserve(_ context.Context, request *entry.ReserveRequest) (*entry.ReserveResponse, error) {
	now := time.Now()
	wanted := toRequest(request, now)
	wanted.Evacuated = s.Evacuated()
	visit, predicted, reason := s.Placer.Pick(wanted)
	if visit == nil {
		return &entry.ReserveResponse{PredictedNanoseconds: int64(predicted), Reason: string(reason)}, nil
	}
	id, address := visit.Where()
	return &entry.ReserveResponse{
		Reservation: s.keep(visit, wanted.Deadline), Target: id, Address: address, Source: visit.Source(),
		PredictedNanoseconds: int64(predicted),
	}, nil
}

func (s *Server) keep(visit *place.Assignment, deadline time.Time) (id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.reserved[s.last] = &reservation{visit: visit, until: deadline.Add(endMargin)}
	return s.last
}

// Report takes in how reserved requests get on.
func (s *Server) Report(_ context.Context, request *entry.ReportRequest) (*entry.ReportResponse, error) {
	now := time.Now()
	for _, p := range request.GetProgress() {
		s.take(p, now)
	}
	return &entry.ReportResponse{}, nil
}

func (s *Server) take(p *entry.Progress, now time.Time) {
	s.mu.Lock()
	r, found := s.reserved[p.GetReservation()]
	if p.GetEnded() {
		delete(s.reserved, p.GetReservation())
	}
	s.mu.Unlock()
	if !found {
		return // of an earlier process, or one that has run out
	}
	if p.GetBegun() {
		r.visit.Begun(now)
	}
	if !p.GetEnded() {
		return
	}
	if p.GetEvents() > 1 {
		r.visit.RecordGap(int(p.GetEvents()), time.Duration(p.GetGapNanoseconds()))
	}
	r.visit.Done(place.Result(p.GetResult()), now)
}

// Expire ends the reservations whose requests are past their deadlines: the VM
// that sent them is gone, or its reports were lost.
func (s *Server) Expire(now time.Time) {
	s.mu.Lock()
	var ended []*place.Assignment
	for id, r := range s.reserved {
		if now.After(r.until) {
			ended = append(ended, r.visit)
			delete(s.reserved, id)
		}
	}
	s.mu.Unlock()
	for _, visit := range ended {
		visit.Done(place.Inconclusive, now)
	}
	if len(ended) > 0 {
		s.Log.Warn("reservations have run out without a report", "count", len(ended))
	}
}

// Given returns the number of places that were ever given to other VMs.
func (s *Server) Given() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.last)
}

// Reserved returns the number of places that requests of other VMs hold.
func (s *Server) Reserved() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.reserved))
}
