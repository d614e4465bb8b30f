// Package follow brings to the entry VMs what the control VMs know: the
// catalogue, the targets, the other entry VMs, and the confirmation that the
// catalogue is the newest. Each entry VM asks every control VM; a question
// waits at the control VM until there is news.
package follow

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/board"
	"kingcuprill/core/entry"
	"kingcuprill/core/instance"
	"kingcuprill/core/versioned"
	"kingcuprill/io/boottime"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/vm"
)

const (
	// confirmWait bounds the wait for a majority in one question. It covers two
	// round trips between regions and a round that is under way already.
	confirmWait = 700 * time.Millisecond
	// entryLease is how long an entry VM counts as alive after its last
	// question.
	entryLease = 4 * time.Second
)

// Server answers entry VMs on a control VM.
type Server struct {
	Board   *board.Board
	Epoch   string // of this process
	Targets *versioned.Table[instance.Registration]
	Confirm func(ctx context.Context) (revision uint64, err error)
	Log     *slog.Logger

	entries  *versioned.Table[entry.Seen]
	mu       sync.Mutex
	next     *round // of confirmation, not started yet
	running  bool
	controls func() []string
	started  time.Time

	packed    atomic.Pointer[packed]
	confirmed atomic.Int64 // begin of the last round that succeeded, boot time in nanoseconds
}

// Confirmed returns how long ago the last successful confirmation began.
func (s *Server) Confirmed() time.Duration {
	return boottime.Now() - time.Duration(s.confirmed.Load())
}

// NewServer returns a server. controls returns the peer addresses of all
// control VMs.
func NewServer(b *board.Board, epoch string, targets *versioned.Table[instance.Registration], confirm func(context.Context) (uint64, error), controls func() []string, log *slog.Logger) *Server {
	return &Server{
		Board: b, Epoch: epoch, Targets: targets, Confirm: confirm, Log: log, controls: controls,
		entries: versioned.NewTable[entry.Seen](), started: time.Now(),
	}
}

// round is one confirmation by a majority, shared by all that asked before it
// began.
type round struct {
	done     chan struct{}
	revision uint64
	err      error
}

const (
	// learnFor is how long a control VM that has started may not have heard of
	// all entry VMs yet.
	learnFor = 6 * time.Second
	// inTouchFor is how long a confirmation by a majority tells that this VM is
	// not cut off.
	inTouchFor = 3 * time.Second
)

// KnowsAll tells whether an entry VM that isn't known here is likely not to
// run.
func (s *Server) KnowsAll() bool {
	return time.Since(s.started) > learnFor && s.Confirmed() < inTouchFor
}

// join returns the next round and starts it as soon as none runs.
func (s *Server) join() *round {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &round{done: make(chan struct{})}
	}
	joined := s.next
	if !s.running {
		s.running = true
		go s.rounds()
	}
	return joined
}

func (s *Server) rounds() {
	for {
		s.mu.Lock()
		current := s.next
		s.next = nil
		if current == nil {
			s.running = false
		}
		s.mu.Unlock()
		if current == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), confirmWait)
		begun := boottime.Now()
		current.revision, current.err = s.Confirm(ctx)
		cancel()
		if current.err == nil {
			s.confirmed.Store(int64(begun))
		}
		close(current.done)
	}
}

// Answer waits for news and returns it.
func (s *Server) Answer(ctx context.Context, request *vm.FollowRequest) *vm.FollowResponse {
	s.note(request.GetEntry())
	confirmation := s.join()
	deadline := time.NewTimer(time.Duration(request.GetWaitNanoseconds()))
	defer deadline.Stop()
	confirmed := s.awaitConfirmation(ctx, confirmation)
	for !s.news(request) {
		_, targets := s.Targets.Version()
		_, entries := s.entries.Version()
		changed := s.Board.Catalogue.Changed()
		if s.news(request) {
			break
		}
		select {
		case <-ctx.Done():
			return &vm.FollowResponse{}
		case <-deadline.C:
			return s.answer(request, confirmed)
		case <-targets:
		case <-entries:
		case <-changed:
		}
	}
	return s.answer(request, confirmed)
}

// awaitConfirmation tells whether a majority confirmed a revision that this VM
// has by now.
func (s *Server) awaitConfirmation(ctx context.Context, confirmation *round) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	select {
	case <-confirmation.done:
	case <-ctx.Done():
		return false
	}
	if confirmation.err != nil {
		return false
	}
	for {
		changed := s.Board.Catalogue.Changed()
		if s.Board.Catalogue.Read().Revision >= confirmation.revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Server) news(request *vm.FollowRequest) bool {
	if request.GetEpoch() != s.Epoch || s.Board.Catalogue.Read().Revision > request.GetRevision() {
		return true
	}
	targets, _ := s.Targets.Version()
	entries, _ := s.entries.Version()
	return targets > request.GetTargetsVersion() || entries > request.GetEntriesVersion()
}

func (s *Server) answer(request *vm.FollowRequest, confirmed bool) *vm.FollowResponse {
	targetsSince, entriesSince := request.GetTargetsVersion(), request.GetEntriesVersion()
	whole := request.GetEpoch() != s.Epoch
	if whole {
		targetsSince, entriesSince = 0, 0
	}
	c := s.Board.Catalogue.Read()
	answer := &vm.FollowResponse{
		Revision: c.Revision, Confirmed: confirmed, Epoch: s.Epoch, Whole: whole, ControlAddresses: s.controls(), Region: s.Board.Region,
	}
	if c.Revision > request.GetRevision() && !request.GetAnnounce() {
		answer.Catalogue = s.pack(c)
	}
	rows, version := s.Targets.Since(targetsSince)
	now := time.Now()
	for _, row := range rows {
		answer.Targets = append(answer.Targets, codec.FromRegistration(row, now))
	}
	answer.TargetsVersion = version
	seen, version := s.entries.Since(entriesSince)
	for _, row := range seen {
		answer.Entries = append(answer.Entries, codec.FromEntryVM(row.VM))
	}
	answer.EntriesVersion = version
	return answer
}

// note keeps what an entry VM tells of itself.
func (s *Server) note(message *vm.EntryVM) {
	if message.GetId() == "" {
		return
	}
	told := codec.ToEntryVM(message)
	old, found := s.entries.Get(told.ID)
	changed := !found || old.VM != told
	if changed {
		s.Log.Info("entry VM reports", "entry", told.ID, "ready", told.Ready, "data_centre", told.DataCentre)
	}
	s.entries.Put(told.ID, entry.Seen{VM: told, At: time.Now()}, changed)
}

// Expire marks entry VMs that ask no more as not ready.
func (s *Server) Expire(now time.Time) {
	for id, seen := range s.entries.Rows() {
		if !seen.Ready || now.Sub(seen.At) < entryLease {
			continue
		}
		s.Log.Warn("entry VM is not heard any more", "entry", id, "age", now.Sub(seen.At))
		seen.Ready = false
		s.entries.Put(id, seen, true)
	}
}

// Entries returns the entry VMs that are known here.
func (s *Server) Entries() (vms []entry.VM) {
	seen, _ := s.entries.Since(0)
	for _, row := range seen {
		vms = append(vms, row.VM)
	}
	return vms
}
