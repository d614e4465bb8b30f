// Package follow distributes the state of the control VMs to the entry VMs: the
// catalogue, the targets, the entry VMs, and the confirmation that the catalogue
// is the newest. Each entry VM long-polls every control VM: a poll is answered
// when something has changed or its wait has ended. Its answer holds the rows that
// are newer than the versions in the poll, or all rows after a restart of the
// control VM. The catalogue is sent compressed, and by only one control VM where
// that one answers in time. If a majority of the control VMs has confirmed the
// catalogue, the answer renews the lease of the entry VM, from the time at which
// the poll was sent. An entry VM whose lease has expired must not act on its
// catalogue.
package follow

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/instance"
	"kingcuprill/core/versioned"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/boottime"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/vm"
)

const (
	// batchInterval is the least time for which changes of entry VMs and of crashes are
	// collected before they end a poll. When many targets crash, each sound answer changes the
	// crashes, and polls that end at once would fill the links of all entry VMs.
	batchInterval = 250 * time.Millisecond
	// maxCrashRows bounds the crashes in one answer. The next poll gets the others.
	maxCrashRows = 64
	// confirmTimeout bounds the wait for a majority in one poll. It covers two
	// round trips between regions and a round that is under way already.
	confirmTimeout = 700 * time.Millisecond
	// entryTimeout is how long an entry VM counts as alive after its last poll.
	entryTimeout = 4 * time.Second
)

// Server answers the polls of entry VMs on a control VM.
type Server struct {
	VMState *vmstate.State
	Epoch   string // of this process; the versions of targets and entry VMs hold within it
	Targets *versioned.Table[instance.Registration]
	// Confirm returns the newest revision after a majority of the control VMs has
	// confirmed it.
	Confirm func(ctx context.Context) (revision uint64, err error)
	Log     *slog.Logger

	entries  *versioned.Table[entry.Seen]
	mu       sync.Mutex
	next     *round // of confirmation that has not started yet; nil if nobody has asked
	running  bool
	controls func() []string
	started  time.Time

	packed    atomic.Pointer[packed]
	confirmed atomic.Int64 // start of the last round that succeeded, boot time in nanoseconds
}

// SinceConfirmed returns the time since the start of the last successful
// confirmation by a majority.
func (s *Server) SinceConfirmed() time.Duration {
	return boottime.Now() - time.Duration(s.confirmed.Load())
}

// NewServer returns a server that knows of no entry VM yet. confirm returns the
// newest revision after a majority has confirmed it; controls returns the peer
// addresses of all control VMs.
func NewServer(s *vmstate.State, epoch string, targets *versioned.Table[instance.Registration], confirm func(context.Context) (uint64, error), controls func() []string, log *slog.Logger) *Server {
	return &Server{
		VMState: s, Epoch: epoch, Targets: targets, Confirm: confirm, Log: log, controls: controls,
		entries: versioned.NewTable[entry.Seen](), started: time.Now(),
	}
}

// round is one confirmation by a majority, shared by all polls that asked for it
// before it began.
type round struct {
	done     chan struct{}
	revision uint64
	err      error
}

const (
	// discoveryTime is how long after its start a control VM may not have been
	// polled by all entry VMs yet.
	discoveryTime = 6 * time.Second
	// confirmedFor is how long after a confirmation by a majority this VM counts as
	// connected to it.
	confirmedFor = 3 * time.Second
)

// KnowsAllEntries reports whether this VM is likely to know all entry VMs that run:
// it has run for a while and isn't partitioned from the majority.
func (s *Server) KnowsAllEntries() bool {
	return time.Since(s.started) > discoveryTime && s.SinceConfirmed() < confirmedFor
}

// joinRound returns the next round, which starts as soon as none runs.
func (s *Server) joinRound() *round {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &round{done: make(chan struct{})}
	}
	joined := s.next
	if !s.running {
		s.running = true
		go s.runRounds()
	}
	return joined
}

func (s *Server) runRounds() {
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
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		begun := boottime.Now()
		current.revision, current.err = s.Confirm(ctx)
		cancel()
		if current.err == nil {
			s.confirmed.Store(int64(begun))
		}
		close(current.done)
	}
}

// Answer records the entry VM that polls, waits until something is newer than in
// the poll or its wait has ended, and returns what is newer.
func (s *Server) Answer(ctx context.Context, request *vm.FollowRequest) *vm.FollowResponse {
	s.recordEntry(request.GetEntry())
	confirmation := s.joinRound()
	deadline := time.NewTimer(time.Duration(request.GetWaitNanoseconds()))
	defer deadline.Stop()
	if request.GetNewsFirst() && request.GetEpoch() == s.Epoch && !s.confirmedBeforeCatalogue(request, confirmation) {
		return s.newAnswer(request, false)
	}
	batchTimer := time.NewTimer(batchInterval)
	defer batchTimer.Stop()
	confirmed := s.awaitConfirmation(ctx, confirmation)
	for batchDue := false; !s.mustAnswer(request, batchDue); {
		targets, unknown := s.targetChanges(request)
		entries := s.entryChanges(request)
		_, crashes := s.VMState.Quarantine.Table.Version()
		changed := s.VMState.Catalogue.Changed()
		if s.mustAnswer(request, batchDue) {
			break
		}
		select {
		case <-ctx.Done():
			return &vm.FollowResponse{}
		case <-deadline.C:
			return s.newAnswer(request, confirmed)
		case <-batchTimer.C:
			batchDue = true
		case <-targets:
		case <-unknown:
		case <-changed:
		case <-whenDue(batchDue, entries):
		case <-whenDue(batchDue, crashes):
		}
	}
	return s.newAnswer(request, confirmed)
}

// whenDue returns the channel of batched changes once they may end the poll, and before that
// nil, which never does.
func whenDue(batchDue bool, changes <-chan struct{}) <-chan struct{} {
	if batchDue {
		return changes
	}
	return nil
}

// confirmedBeforeCatalogue waits until a round ends, for no longer than confirmTimeout, or this
// VM has a newer catalogue than the entry VM. It reports false if the catalogue comes first: it
// is then sent at once, and the next poll renews the lease of the entry VM.
func (s *Server) confirmedBeforeCatalogue(request *vm.FollowRequest, confirmation *round) bool {
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	for {
		changed := s.VMState.Catalogue.Changed()
		if s.VMState.Catalogue.Read().Revision > request.GetRevision() {
			return false
		}
		select {
		case <-confirmation.done:
			return true
		case <-timer.C:
			return true
		case <-changed:
		}
	}
}

// awaitConfirmation waits for a round and reports whether a majority confirmed a
// revision that this VM has applied in time.
func (s *Server) awaitConfirmation(ctx context.Context, confirmation *round) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
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
		changed := s.VMState.Catalogue.Changed()
		if s.VMState.Catalogue.Read().Revision >= confirmation.revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// mustAnswer reports whether this VM has something newer that ends the poll. batchDue says that
// batchInterval is over.
func (s *Server) mustAnswer(request *vm.FollowRequest, batchDue bool) bool {
	return s.hasUrgent(request) || batchDue && s.hasBatched(request)
}

// hasUrgent reports whether this VM has something newer than the versions in the poll that
// must be known at once: a catalogue or a target.
func (s *Server) hasUrgent(request *vm.FollowRequest) bool {
	if request.GetEpoch() != s.Epoch || s.VMState.Catalogue.Read().Revision > request.GetRevision() {
		return true
	}
	return s.targetsVersion(request) > request.GetTargetsVersion()
}

// hasBatched reports whether this VM has newer entry VMs or crashes of targets than the versions
// in the poll.
func (s *Server) hasBatched(request *vm.FollowRequest) bool {
	entries, _ := s.entries.Version()
	if !request.GetNoEntries() && entries > request.GetEntriesVersion() {
		return true
	}
	crashes, _ := s.VMState.Quarantine.Table.Version()
	return crashes > request.GetCrashesVersion()
}

func (s *Server) newAnswer(request *vm.FollowRequest, confirmed bool) *vm.FollowResponse {
	targetsSince, entriesSince, crashesSince := request.GetTargetsVersion(), request.GetEntriesVersion(), request.GetCrashesVersion()
	whole := request.GetEpoch() != s.Epoch
	if whole {
		targetsSince, entriesSince, crashesSince = 0, 0, 0
	}
	c := s.VMState.Catalogue.Read()
	answer := &vm.FollowResponse{
		Revision: c.Revision, Confirmed: confirmed, Epoch: s.Epoch, Whole: whole, ControlAddresses: s.controls(), Region: s.VMState.Region,
	}
	if c.Revision > request.GetRevision() && !request.GetAnnounce() {
		answer.Catalogue = s.pack(c)
	}
	s.addTargets(answer, request, targetsSince)
	if !request.GetNoEntries() {
		s.addEntries(answer, entriesSince)
	}
	crashes, version := s.VMState.Quarantine.Table.Next(crashesSince, maxCrashRows)
	answer.Crashes, answer.CrashesVersion = codec.FromCrashes(crashes), version
	answer.EntryCount = int32(s.entryCount())
	return answer
}

func (s *Server) addEntries(answer *vm.FollowResponse, since uint64) {
	seen, version := s.entries.Since(since)
	for _, row := range seen {
		answer.Entries = append(answer.Entries, codec.FromEntryVM(row.VM))
	}
	answer.EntriesVersion = version
}

// entryCount returns the number of entry VMs that have polled within entryTimeout.
func (s *Server) entryCount() (count int) {
	now := time.Now()
	seen, _ := s.entries.Since(0)
	for _, row := range seen {
		if now.Sub(row.At) < entryTimeout {
			count++
		}
	}
	return count
}

// recordEntry keeps the state that an entry VM reports of itself.
func (s *Server) recordEntry(message *vm.EntryVM) {
	if message.GetId() == "" {
		return
	}
	reported := codec.ToEntryVM(message)
	old, found := s.entries.Get(reported.ID)
	changed := !found || old.VM != reported
	if changed {
		s.Log.Info("entry VM has reported a new state", "entry", reported.ID, "ready", reported.Ready, "link_busy", reported.LinkBusy, "link_full", reported.LinkFull, "data_centre", reported.DataCentre)
	}
	s.entries.Put(reported.ID, entry.Seen{VM: reported, At: time.Now()}, changed)
}

// Expire marks entry VMs that have stopped polling as not ready, and as accepting no
// connections of callers.
func (s *Server) Expire(now time.Time) {
	for id, seen := range s.entries.Rows() {
		if (!seen.Ready && seen.CallerAddress == "") || now.Sub(seen.At) < entryTimeout {
			continue
		}
		s.Log.Warn("entry VM does not poll any more; it counts as not ready", "entry", id, "age", now.Sub(seen.At))
		seen.Ready, seen.CallerAddress = false, ""
		s.entries.Put(id, seen, true)
	}
}

// Entries returns the entry VMs that have polled this process.
func (s *Server) Entries() (vms []entry.VM) {
	seen, _ := s.entries.Since(0)
	for _, row := range seen {
		vms = append(vms, row.VM)
	}
	return vms
}
