// Package coordinator lets the entry VMs of a region share the load of its
// targets. One entry VM coordinates each target. The others reserve a place from
// it before they send a request to the target, and report when the answer begins
// and ends, so that the coordinator knows the target's whole load. Reservations
// are in memory only; one that isn't reported as ended expires after its request's
// deadline.
package coordinator

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/brittle"
	"kingcuprill/core/fault"
	"kingcuprill/core/place"
	"kingcuprill/core/targetlimit"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/entry"
)

const (
	// maxBodyBytes bounds the body of one call.
	maxBodyBytes = 256 << 10
	// expiryMargin is how long after its request's deadline a reservation is kept.
	expiryMargin = time.Second
	// maxReportAge is longer than reports are collected.
	maxReportAge = 200 * time.Millisecond
)

// Server reserves places for other VMs at the targets that this VM coordinates.
type Server struct {
	Placer *place.Placer
	// Evacuated returns the data centres that get no requests.
	Evacuated func() map[string]bool
	// Confirmed reports whether a control VM has confirmed this VM's state lately.
	Confirmed func() bool
	Log       *slog.Logger

	mu       sync.Mutex
	last     uint64 // id of the newest reservation
	given    int64
	asked    atomic.Int64 // Reserve calls
	reserved map[uint64]*reservedPlace
}

type reservedPlace struct {
	assignment *place.Assignment
	until      time.Time
}

// NewServer returns a server without reservations. Their ids begin at a random
// number, so that late reports of reservations that an earlier process at the same
// address made don't end those of this one.
func NewServer(placer *place.Placer, evacuated func() map[string]bool, confirmed func() bool, log *slog.Logger) *Server {
	return &Server{Placer: placer, Evacuated: evacuated, Confirmed: confirmed, Log: log, last: rand.Uint64(), reserved: map[uint64]*reservedPlace{}}
}

// Handler returns the handler of the calls between entry VMs.
func (s *Server) Handler(credentials peer.Credentials) http.Handler {
	return credentials.Middleware(maxBodyBytes, entry.NewEntryServer(s))
}

// errUnconfirmed is the answer of a coordinator whose targets may be gone. Its callers take
// it for one that doesn't answer.
var errUnconfirmed = fault.New(fault.NoQuorum, "no control VM has confirmed the targets of this coordinator lately")

// Reserve reserves a place for a request of another VM. The answer has no
// reservation, but a reason, if there is no place.
func (s *Server) Reserve(_ context.Context, request *entry.ReserveRequest) (*entry.ReserveResponse, error) {
	s.asked.Add(1)
	if !s.Confirmed() {
		return nil, peer.ToTwirp(errUnconfirmed)
	}
	now := time.Now()
	wanted := toRequest(request, now)
	wanted.Evacuated = s.Evacuated()
	s.Placer.LearnLimits(wanted.Limits, now)
	assignment, predicted, reason := s.Placer.Pick(wanted)
	limits := fromLimits(s.Placer.KnownLimits(wanted.Service, s.Placer.Self, now))
	if assignment == nil {
		return &entry.ReserveResponse{PredictedNanoseconds: int64(predicted), Reason: string(reason), Limits: limits}, nil
	}
	id, address := assignment.Where()
	return &entry.ReserveResponse{
		Reservation: s.addReservation(assignment, wanted.Deadline), Target: id, Address: address, Source: assignment.Source(), Version: assignment.Version(),
		PredictedNanoseconds: int64(predicted), Limits: limits,
	}, nil
}

func (s *Server) addReservation(assignment *place.Assignment, deadline time.Time) (id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	if s.last == 0 { // stands for no reservation
		s.last++
	}
	s.given++
	s.reserved[s.last] = &reservedPlace{assignment: assignment, until: deadline.Add(expiryMargin)}
	return s.last
}

// Report applies the progress of requests that hold reservations.
func (s *Server) Report(_ context.Context, request *entry.ReportRequest) (*entry.ReportResponse, error) {
	now := time.Now()
	for _, p := range request.GetProgress() {
		age := min(max(0, time.Duration(p.GetAgeNanoseconds())), maxReportAge)
		s.applyProgress(p, now.Add(-age))
	}
	return &entry.ReportResponse{}, nil
}

func (s *Server) applyProgress(p *entry.Progress, now time.Time) {
	s.mu.Lock()
	r, found := s.reserved[p.GetReservation()]
	if p.GetEnded() {
		delete(s.reserved, p.GetReservation())
	}
	s.mu.Unlock()
	if !found {
		return // made by an earlier process, or expired
	}
	if limit := p.GetLimit(); limit != nil {
		r.assignment.ObserveLimit(targetlimit.Notice{Named: limit.GetNamed(), Rate: limit.GetRatePerSecond()}, now)
	}
	if p.GetLeaving() {
		r.assignment.ObserveLeaving(now)
	}
	if notice := p.GetBrittle(); notice != nil {
		r.assignment.ObserveBrittle(brittle.Notice{Named: notice.GetNamed(), Most: int(notice.GetMost())}, now)
	}
	if p.GetBegun() {
		r.assignment.Begun(now)
	}
	if p.GetEvents() > 1 {
		r.assignment.RecordGap(int(p.GetEvents()), time.Duration(p.GetGapNanoseconds()), now)
	}
	if !p.GetEnded() {
		return
	}
	r.assignment.Done(place.Result(p.GetResult()), now)
}

// Expire ends the reservations whose requests are past their deadlines. Their VM
// has gone, or its reports were lost.
func (s *Server) Expire(now time.Time) {
	s.mu.Lock()
	var ended []*place.Assignment
	for id, r := range s.reserved {
		if now.After(r.until) {
			ended = append(ended, r.assignment)
			delete(s.reserved, id)
		}
	}
	s.mu.Unlock()
	for _, assignment := range ended {
		assignment.Done(place.Inconclusive, now)
	}
	if len(ended) > 0 {
		s.Log.Warn("reservations have expired without a report; their places are free again", "count", len(ended))
	}
}

// Asked returns the number of Reserve calls that this process has answered.
func (s *Server) Asked() int64 {
	return s.asked.Load()
}

// Given returns the number of reservations that this process has made for other
// VMs.
func (s *Server) Given() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.given
}

// Reserved returns the number of reservations that other VMs hold now.
func (s *Server) Reserved() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.reserved))
}
