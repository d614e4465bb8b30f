// Package replica runs one replica of the control log, a Raft log that the control
// VMs keep. It drives the consensus of core/raft with a clock, the data folder of
// io/disk and the messages of other replicas, and applies committed commands to
// the replicated state machine of core/control.
//
// Proposals and reads are linearizable: a command is answered once a majority has
// it on disk, and a read once a majority has confirmed the leader.
package replica

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/io/disk"
	"kingcuprill/rpc/state"
)

const (
	electionTicks     = 10
	heartbeatTicks    = 3
	maxBatchEntries   = 128
	maxInFlight       = 8 // append messages
	maxBatchBytes     = 1 << 20
	maxInFlightBytes  = 8 << 20
	heartbeatBytes    = 128 << 10 // 1 MB/s for heartbeats each 135 ms
	inboxSize         = 1024
	maxBatchedInputs  = 256 // inputs handled before the disk is synced
	diskRetryInterval = time.Second
	// maxCommandBytes is the largest encoded command: its entry has some bytes more.
	maxCommandBytes = disk.MaxEntryBytes - 64
)

// Transport sends messages to another replica. Send must not block; messages may
// be lost.
type Transport interface {
	Send(to string, messages []raft.Message)
}

// Options configures a replica.
type Options struct {
	ID        string
	Store     *disk.Store
	Saved     disk.Saved
	Transport Transport
	Log       *slog.Logger
	TickEvery time.Duration
	// SnapshotBytes is the size of the applied entries after which a snapshot is taken, 0 for
	// the default. The log is at most about one and a half times as large, and twice that
	// with a large state.
	SnapshotBytes int
	// Published is called with each new catalogue and the change that led to it,
	// or nil at the start and after a snapshot was restored.
	Published func(c *catalogue.Catalogue, change *catalogue.Change)
}

// Replica is a running replica.
type Replica struct {
	options Options
	node    *raft.Node
	state   *control.State
	status  atomic.Pointer[Status]

	inbox     chan []raft.Message
	proposals chan proposal
	calls     chan func()

	pendingProposals map[uint64]pendingProposal // by log index
	pendingReads     map[uint64]chan readAnswer // by read id
	readyReads       []raft.ReadState           // confirmed, waiting for their index to be applied
	lastReadContext  uint64                     // id of the last read passed to raft

	clockTerm  uint64    // term for which clockBase and clockStart hold
	clockBase  time.Time // ledger's clock at clockStart
	clockStart time.Time

	captured      *capturedSnapshot
	capturedBytes int // size of the last snapshot that was captured
	sinceCapture  int // size of the entries applied since, bytes
	diskProblem   error
}

// Status is the state of a replica after its last step. It is safe for concurrent
// use.
type Status struct {
	raft.Status
	DiskProblem error // error of the last write, nil while writes succeed
	LogBytes    int64
}

type proposal struct {
	command *state.Command
	answer  chan proposalAnswer
}

type proposalAnswer struct {
	result control.Result
	err    error
}

type pendingProposal struct {
	term   uint64
	answer chan proposalAnswer
}

type readAnswer struct {
	catalogue *catalogue.Catalogue
	err       error
}

// New returns a replica that starts from the saved contents of its data folder.
func New(options Options) (r *Replica) {
	s, unreadable := codec.DecodeState(options.Saved.Snapshot.Data)
	if unreadable != nil {
		s = control.New()
	}
	r = &Replica{
		options:          options,
		state:            s,
		capturedBytes:    len(options.Saved.Snapshot.Data),
		inbox:            make(chan []raft.Message, inboxSize),
		proposals:        make(chan proposal, inboxSize),
		calls:            make(chan func()),
		pendingProposals: map[uint64]pendingProposal{},
		pendingReads:     map[uint64]chan readAnswer{},
	}
	config := raft.Config{
		ID: options.ID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxBatchEntries: maxBatchEntries, MaxInFlight: maxInFlight, Random: rand.IntN,
		MaxBatchBytes: maxBatchBytes, MaxInFlightBytes: maxInFlightBytes, HeartbeatBytes: heartbeatBytes,
	}
	r.node = raft.NewNode(config, options.Saved.HardState, options.Saved.Snapshot, options.Saved.Entries)
	if unreadable != nil {
		r.hold(options.Saved.Snapshot.Index+1, unreadable)
	}
	r.saveFolded()
	r.options.Saved = disk.Saved{} // the entries would stay in memory
	r.publishStatus()
	options.Published(r.state.Catalogue, nil)
	return r
}

// Run drives the replica until the tomb dies. It returns an error when the disk can
// no longer be trusted (disk.ErrSync). When a committed entry or snapshot can't be applied,
// it runs on without applying any (see Status.Held).
func (r *Replica) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(r.options.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
			r.node.Tick()
		case messages := <-r.inbox:
			r.step(messages)
		case p := <-r.proposals:
			r.propose(p)
		case call := <-r.calls:
			call()
		}
		r.drainInputs()
		if err := r.processReady(t); err != nil {
			return err
		}
		r.failReads()
		r.publishStatus()
	}
}

// drainInputs handles the inputs that are queued already, so that one sync covers them.
func (r *Replica) drainInputs() {
	for range maxBatchedInputs {
		select {
		case messages := <-r.inbox:
			r.step(messages)
		case p := <-r.proposals:
			r.propose(p)
		default:
			return
		}
	}
}

func (r *Replica) step(messages []raft.Message) {
	for _, m := range messages {
		r.node.Step(m)
	}
}

// processReady persists, sends and applies the output of the consensus until there
// is none.
func (r *Replica) processReady(t *tomb.Tomb) error {
	for {
		ready, found := r.node.Ready()
		if !found {
			return nil
		}
		if err := r.persist(t, ready); err != nil {
			return err
		}
		r.send(ready.Messages)
		r.applyReady(&ready)
		r.node.Advance(ready)
		r.answerReads(ready.Reads)
		r.compact(ready.HardState)
	}
}

// persist saves the entries, hard state and snapshot that must be on disk before
// messages are sent. While writes fail, it retries and sends nothing, so that the
// replica looks unreachable to the others.
func (r *Replica) persist(t *tomb.Tomb, ready raft.Ready) error {
	for {
		err := r.save(ready)
		if err == nil {
			r.setDiskProblem(nil)
			return nil
		}
		if errors.Is(err, disk.ErrSync) {
			return err
		}
		r.setDiskProblem(err)
		if !r.waitForDisk(t) {
			return tomb.ErrDying
		}
	}
}

func (r *Replica) save(ready raft.Ready) error {
	if ready.Snapshot != nil {
		return r.options.Store.SaveSnapshot(*ready.Snapshot, ready.HardState, ready.Entries)
	}
	return r.options.Store.Save(ready.HardState, ready.Entries, ready.MustSync)
}

// waitForDisk rejects proposals and drops messages until the next attempt to write
// is due. It returns false when the replica is to stop.
func (r *Replica) waitForDisk(t *tomb.Tomb) bool {
	timer := time.NewTimer(diskRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-t.Dying():
			return false
		case <-timer.C:
			return true
		case <-r.inbox:
		case p := <-r.proposals:
			p.answer <- proposalAnswer{err: fault.New(fault.NoQuorum, "the disk of VM %s fails to write the control log; the command was not proposed: %v", r.options.ID, r.diskProblem)}
		}
	}
}

func (r *Replica) setDiskProblem(err error) {
	if (err == nil) != (r.diskProblem == nil) {
		if err != nil {
			r.options.Log.Error("the control log could not be written to disk; the replica sends no messages and retries until a write succeeds", "error", err)
		} else {
			r.options.Log.Info("the control log can be written to disk again; the replica takes part in the control log")
		}
	}
	r.diskProblem = err
	r.publishStatus()
}

func (r *Replica) send(messages []raft.Message) {
	byReplica := map[string][]raft.Message{}
	for _, m := range messages {
		byReplica[m.To] = append(byReplica[m.To], m)
	}
	for to, batch := range byReplica {
		r.options.Transport.Send(to, batch)
	}
}

func (r *Replica) publishStatus() {
	r.status.Store(&Status{Status: r.node.Status(), DiskProblem: r.diskProblem, LogBytes: r.options.Store.Size()})
}

// Status returns the state of the replica after its last step.
func (r *Replica) Status() Status {
	return *r.status.Load()
}

// Step queues messages of another replica. They are dropped when the queue is full.
func (r *Replica) Step(messages []raft.Message) {
	select {
	case r.inbox <- messages:
	default:
	}
}

// ChangeMembership commits one change of the replica set and returns the new
// membership. allow returns an error if the leader must not make the change with the set
// in force. Error codes: fault.NoQuorum and fault.Conflict, or that of allow, for a change
// that was not made, fault.OutcomeUnknown for one that may still be.
func (r *Replica) ChangeMembership(ctx context.Context, action raft.MembershipAction, id string, allow func(raft.Status) error) (m raft.Membership, err error) {
	answer := make(chan proposalAnswer, 1)
	err = r.runInLoop(ctx, func() {
		if err := allow(r.node.Status()); err != nil {
			answer <- proposalAnswer{err: err}
			return
		}
		index, term, err := r.node.ChangeMembership(action, id)
		if err != nil {
			answer <- proposalAnswer{err: fault.New(membershipCode(err), "%v", err)}
			return
		}
		r.pendingProposals[index] = pendingProposal{term: term, answer: answer}
	})
	if err != nil {
		return m, err
	}
	select {
	case a := <-answer:
		return r.Status().Membership, a.err
	case <-ctx.Done():
		return m, fault.New(fault.OutcomeUnknown, "no majority of the replicas answered in time; the change may still come into force")
	}
}

func membershipCode(err error) fault.Code {
	// io/propose retries fault.NoQuorum. A pending change ends soon: a new leader
	// first commits an entry of its own term.
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrTransferInProgress) || errors.Is(err, raft.ErrChangePending) {
		return fault.NoQuorum
	}
	return fault.Conflict
}

// TransferLeadership transfers the leadership to another voter and waits until this
// replica is no longer the leader, or the context ends. It returns at once if this
// replica is not the leader or has no other voter.
func (r *Replica) TransferLeadership(ctx context.Context) {
	started := false
	if err := r.runInLoop(ctx, func() { started = r.node.TransferLeadership("") }); err != nil || !started {
		return
	}
	for r.Status().Role == raft.Leader && ctx.Err() == nil {
		time.Sleep(r.options.TickEvery / 2)
	}
}

// runInLoop runs a function on the replica's goroutine.
func (r *Replica) runInLoop(ctx context.Context, run func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { run(); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return fault.New(fault.NoQuorum, "the replica did not run the call before the deadline")
	}
}
