// Package fakeservice is an HTTP server that imitates a plain, non-model service
// in tests. It takes bookings that must not run twice, counts how often each one
// runs, and can lose or withhold answers.
package fakeservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"kingcuprill/core/fault"
	"kingcuprill/io/rig/announcer"
)

// Options configure one service.
type Options struct {
	ID            string
	Service       string
	Region        string
	DataCentre    string
	Capacity      int
	VMs           []string // target addresses of the VMs of its data centre
	AnnounceEvery time.Duration
	Ledger        *Ledger // may be shared by several services
	CallDuration  time.Duration
}

// Ledger counts how often each booking has run.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}}
}

// Run counts one run of a booking and returns its number of runs so far.
func (l *Ledger) Run(item string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[item]++
	return l.runs[item]
}

// Runs returns the number of runs of a booking.
func (l *Ledger) Runs(item string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[item]
}

// MostRuns returns the largest number of runs of any booking.
func (l *Ledger) MostRuns() (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.runs {
		most = max(most, n)
	}
	return most
}

// Service is a running fake service.
type Service struct {
	Options Options
	Address string

	mu        sync.Mutex
	fault     Fault
	seen      []http.Header
	bootID    string
	server    *http.Server
	announcer *announcer.Announcer
	ctx       context.Context
	stop      context.CancelFunc
	group     sync.WaitGroup
}

// Fault tells what happens to the answer of a booking.
type Fault string

// Faults of a service.
const (
	NoFault    Fault = ""
	LoseAnswer Fault = "lose_answer" // the connection closes after the booking has run
	Hang       Fault = "hang"        // the booking has run; its answer never comes
)

type bookingJSON struct {
	Item string `json:"item"`
}

// Start listens on a free loopback port, serves requests and announces the
// service to its VMs until Stop. It fails if it can't listen.
func Start(options Options) (s *Service, err error) {
	defer fault.Annotate(&err, "fake service %s", options.ID)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s = &Service{Options: options, Address: listener.Addr().String(), bootID: uuid.NewString()}
	s.announcer = &announcer.Announcer{VMs: options.VMs, Every: options.AnnounceEvery, Load: func() announcer.Load { return announcer.Load{} }}
	s.ctx, s.stop = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.book)
	mux.HandleFunc("GET /stock/{item}", s.stock)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, `{"boot_id":%q}`, s.bootID) })
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	s.group.Go(func() { _ = s.server.Serve(listener) })
	s.group.Go(func() { s.announcer.Run(s.ctx, s.Identity) })
	return s, nil
}

// Identity returns the data that the service announces.
func (s *Service) Identity() announcer.Identity {
	return announcer.Identity{
		ID: s.Options.ID, BootID: s.bootID, Service: s.Options.Service, Kind: "service", Address: s.Address,
		Region: s.Options.Region, DataCentre: s.Options.DataCentre, Capacity: s.Options.Capacity,
	}
}

// SetFault sets the fault of all bookings from now on.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Service) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Headers returns the headers of all booking and stock requests so far.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.seen...)
}

// Stop closes all connections, ends the announcements and waits for both.
func (s *Service) Stop() {
	s.stop()
	s.server.Close()
	s.group.Wait()
}

func (s *Service) recordHeader(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, r.Header.Clone())
}

func (s *Service) setAnswerHeader(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Kingcuprill-Exchange-Id", r.Header.Get("Kingcuprill-Exchange-Id"))
	w.Header().Set("Content-Type", "application/json")
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	s.recordHeader(r)
	var booking bookingJSON
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &booking)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	count := s.Options.Ledger.Run(booking.Item)
	switch s.currentFault() {
	case LoseAnswer:
		panic(http.ErrAbortHandler)
	case Hang:
		select {
		case <-r.Context().Done():
		case <-s.ctx.Done():
		}
		return
	}
	time.Sleep(s.Options.CallDuration)
	s.setAnswerHeader(w, r)
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, `{"item":%q,"run":%d,"by":%q}`, booking.Item, count, s.Options.ID)
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	s.recordHeader(r)
	time.Sleep(s.Options.CallDuration)
	s.setAnswerHeader(w, r)
	fmt.Fprintf(w, `{"item":%q,"in_stock":%d,"by":%q}`, r.PathValue("item"), len(r.PathValue("item")), s.Options.ID)
}
