// Package replica runs one replica of the control log: it drives core/raft
// with a clock, the data folder and messages of other replicas, and applies
// what is committed to the replicated state.
package replica

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
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
	electionTicks    = 10
	heartbeatTicks   = 3
	maxBatchEntries  = 128
	maxInFlight      = 8 // append messages
	inboxSize        = 1024
	maxDrain         = 256 // inputs taken in before the disk is synced
	snapshotEvery    = 512 // entries
	snapshotTrailing = 256 // entries kept behind a snapshot for followers that lag
	retryDiskAfter   = time.Second
)

// Transport sends messages to another replica. It must not block; messages may
// be lost.
type Transport interface {
	Send(to string, messages []raft.Message)
}

// Options holds what a replica needs.
type Options struct {
	ID        string
	Store     *disk.Store
	Saved     disk.Saved
	Transport Transport
	Log       *slog.Logger
	TickEvery time.Duration
	// Published is called with each catalogue that comes into force, and the
	// change that led to it, nil after a snapshot.
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

	waiting     map[uint64]waiter // by log index
	reads       map[uint64]chan readAnswer
	readyReads  []raft.ReadState
	nextContext uint64

	clockTerm  uint64    // term in which the ledger's clock was taken over
	clockBase  time.Time // on the ledger's clock
	clockStart time.Time

	pending     *pendingSnapshot
	diskProblem error
}

// Status is a view of a replica that any goroutine may read.
type Status struct {
	raft.Status
	DiskProblem error
	LogBytes    int64
}

type pendingSnapshot struct {
	index uint64
	data  []byte
}

type proposal struct {
	command *state.Command
	answer  chan proposalAnswer
}

type proposalAnswer struct {
	result control.Result
	err    error
}

type waiter struct {
	term   uint64
	answer chan proposalAnswer
}

type readAnswer struct {
	catalogue *catalogue.Catalogue
	err       error
}

// New returns a replica that starts from what its data folder holds.
func New(options Options) (r *Replica, err error) {
	defer fault.Annotate(&err, "start replica %s", options.ID)
	s, err := codec.DecodeState(options.Saved.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	r = &Replica{
		options:   options,
		state:     s,
		inbox:     make(chan []raft.Message, inboxSize),
		proposals: make(chan proposal, inboxSize),
		calls:     make(chan func()),
		waiting:   map[uint64]waiter{},
		reads:     map[uint64]chan readAnswer{},
	}
	config := raft.Config{
		ID: options.ID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
		MaxBatchEntries: maxBatchEntries, MaxInFlight: maxInFlight, Random: rand.IntN,
	}
	r.node = raft.NewNode(config, options.Saved.HardState, options.Saved.Snapshot, options.Saved.Entries)
	r.publishStatus()
	options.Published(r.state.Catalogue, nil)
	return r, nil
}

// Run drives the replica until the tomb dies.
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
		r.drain()
		if err := r.work(t); err != nil {
			return err
		}
		r.dropReads()
		r.publishStatus()
	}
}

// drain takes in what waits already, so that one sync covers it.
func (r *Replica) drain() {
	for range maxDrain {
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

// work carries out all that the consensus asks for.
func (r *Replica) work(t *tomb.Tomb) error {
	for {
		ready, found := r.node.Ready()
		if !found {
			return nil
		}
		if err := r.persist(t, ready); err != nil {
			return err
		}
		r.send(ready.Messages)
		if err := r.applyReady(ready); err != nil {
			return err
		}
		r.node.Advance(ready)
		r.answerReads(ready.Reads)
		r.compact(ready.HardState)
	}
}

// persist saves what must be on disk. While the disk refuses writes, it tries
// again and sends nothing: to the others, this replica is silent.
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

// waitForDisk refuses proposals and drops messages until it is time to try the
// disk again. It returns false when the replica is to stop.
func (r *Replica) waitForDisk(t *tomb.Tomb) bool {
	timer := time.NewTimer(retryDiskAfter)
	defer timer.Stop()
	for {
		select {
		case <-t.Dying():
			return false
		case <-timer.C:
			return true
		case <-r.inbox:
		case p := <-r.proposals:
			p.answer <- proposalAnswer{err: fault.New(fault.NoQuorum, "the disk of VM %s refuses writes: %v", r.options.ID, r.diskProblem)}
		}
	}
}

func (r *Replica) setDiskProblem(err error) {
	if (err == nil) != (r.diskProblem == nil) {
		if err != nil {
			r.options.Log.Error("the disk refuses writes; the replica is silent until it takes them", "error", err)
		} else {
			r.options.Log.Info("the disk takes writes again")
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

func (r *Replica) applyReady(ready raft.Ready) error {
	if ready.Snapshot != nil {
		if err := r.restore(*ready.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range ready.Committed {
		if err := r.apply(entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) restore(snapshot raft.Snapshot) error {
	s, err := codec.DecodeState(snapshot.Data)
	if err != nil {
		return err
	}
	r.state = s
	r.pending = nil
	for index, w := range r.waiting {
		if index <= snapshot.Index {
			w.answer <- proposalAnswer{err: fault.New(fault.OutcomeUnknown, "the control log was replaced by a snapshot before the answer came")}
			delete(r.waiting, index)
		}
	}
	r.options.Published(r.state.Catalogue, nil)
	return nil
}

func (r *Replica) apply(entry raft.Entry) (err error) {
	defer fault.Annotate(&err, "apply entry %d of the control log", entry.Index)
	result := control.Result{Revision: r.state.Catalogue.Revision}
	if entry.Kind == raft.EntryCommand {
		if result, err = r.applyCommand(entry.Data); err != nil {
			return err
		}
	}
	r.answer(entry, result)
	r.captureSnapshot(entry.Index)
	return nil
}

func (r *Replica) applyCommand(data []byte) (result control.Result, err error) {
	message := &state.Command{}
	if err := proto.Unmarshal(data, message); err != nil {
		return result, err
	}
	command, err := codec.ToCommand(message)
	if err != nil {
		return result, err
	}
	before := r.state.Catalogue
	result = r.state.Apply(command)
	if r.state.Catalogue != before {
		r.options.Published(r.state.Catalogue, command.Change)
	}
	return result, nil
}

func (r *Replica) answer(entry raft.Entry, result control.Result) {
	w, found := r.waiting[entry.Index]
	if !found {
		return
	}
	delete(r.waiting, entry.Index)
	if w.term != entry.Term {
		w.answer <- proposalAnswer{err: fault.New(fault.NoQuorum, "another leader took over before the change was committed; it was not made")}
		return
	}
	w.answer <- proposalAnswer{result: result}
}

// captureSnapshot keeps the state at regular places of the log. It replaces the
// entries once snapshotTrailing more have been applied.
func (r *Replica) captureSnapshot(index uint64) {
	if r.pending == nil && index%snapshotEvery == 0 {
		data, err := codec.EncodeState(r.state)
		if err != nil {
			r.options.Log.Error("the state can't be encoded", "error", err)
			return
		}
		r.pending = &pendingSnapshot{index: index, data: data}
	}
}

func (r *Replica) compact(hard raft.HardState) {
	status := r.node.Status()
	if r.pending == nil || status.Applied < r.pending.index+snapshotTrailing {
		return
	}
	captured := *r.pending
	r.pending = nil
	snapshot, err := r.node.Compact(captured.index, captured.data)
	if err == nil {
		err = r.options.Store.SaveSnapshot(snapshot, hard, r.node.Persisted())
	}
	if err != nil {
		// The log on disk stays longer than it need be; the next snapshot tries again.
		r.options.Log.Error("the control log was not compacted", "index", captured.index, "error", err)
	}
}

func (r *Replica) publishStatus() {
	r.status.Store(&Status{Status: r.node.Status(), DiskProblem: r.diskProblem, LogBytes: r.options.Store.Size()})
}

// Status returns how the replica stood after its last step.
func (r *Replica) Status() Status {
	return *r.status.Load()
}

// Step takes in messages of another replica. When the replica is behind, they
// are dropped.
func (r *Replica) Step(messages []raft.Message) {
	select {
	case r.inbox <- messages:
	default:
	}
}

// Propose commits a command and returns its result. An error with the code
// fault.NoQuorum is true: the command has not been and will not be carried out.
// fault.OutcomeUnknown tells that it may still be.
func (r *Replica) Propose(ctx context.Context, command *state.Command) (result control.Result, err error) {
	p := proposal{command: command, answer: make(chan proposalAnswer, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return result, fault.New(fault.NoQuorum, "the replica took no proposal in time")
	}
	select {
	case answer := <-p.answer:
		return answer.result, answer.err
	case <-ctx.Done():
		return result, fault.New(fault.OutcomeUnknown, "no majority of the replicas answered in time; the change may still come into force")
	}
}

func (r *Replica) propose(p proposal) {
	r.stamp(p.command)
	data, err := proto.Marshal(p.command)
	if err != nil {
		p.answer <- proposalAnswer{err: fault.New(fault.Invalid, "encode the command: %v", err)}
		return
	}
	index, term, err := r.node.Propose(data)
	if err != nil {
		p.answer <- proposalAnswer{err: fault.New(fault.NoQuorum, "%v", err)}
		return
	}
	r.waiting[index] = waiter{term: term, answer: p.answer}
}

// stamp sets the time of a command on the ledger's clock.
func (r *Replica) stamp(command *state.Command) {
	now := r.ledgerNow().UnixNano()
	switch kind := command.GetKind().(type) {
	case *state.Command_Claim:
		kind.Claim.NowUnixNanoseconds = now
	case *state.Command_Finish:
		kind.Finish.NowUnixNanoseconds = now
	case *state.Command_Orders:
		kind.Orders.NowUnixNanoseconds = now
	}
}

// ledgerNow goes on from the ledger's clock by the time that has passed since
// this replica became the leader.
func (r *Replica) ledgerNow() time.Time {
	status := r.node.Status()
	if status.Term != r.clockTerm {
		r.clockTerm = status.Term
		r.clockBase = r.state.Ledger.Now()
		r.clockStart = time.Now()
	}
	return r.clockBase.Add(time.Since(r.clockStart))
}

// Read returns the catalogue after a majority has confirmed that this replica
// leads.
func (r *Replica) Read(ctx context.Context) (c *catalogue.Catalogue, err error) {
	answer := make(chan readAnswer, 1)
	err = r.call(ctx, func() {
		r.nextContext++
		if err := r.node.ReadIndex(r.nextContext); err != nil {
			answer <- readAnswer{err: fault.New(fault.NoQuorum, "%v", err)}
			return
		}
		r.reads[r.nextContext] = answer
	})
	if err != nil {
		return nil, err
	}
	select {
	case a := <-answer:
		return a.catalogue, a.err
	case <-ctx.Done():
		return nil, fault.New(fault.NoQuorum, "no majority of the replicas confirmed the leader in time")
	}
}

func (r *Replica) answerReads(ready []raft.ReadState) {
	r.readyReads = append(r.readyReads, ready...)
	applied := r.node.Status().Applied
	kept := r.readyReads[:0]
	for _, read := range r.readyReads {
		if read.Index > applied {
			kept = append(kept, read)
			continue
		}
		if answer, found := r.reads[read.Context]; found {
			answer <- readAnswer{catalogue: r.state.Catalogue}
			delete(r.reads, read.Context)
		}
	}
	r.readyReads = kept
}

// dropReads refuses the reads that wait when the replica leads no more.
func (r *Replica) dropReads() {
	if r.node.Status().Role == raft.Leader {
		return
	}
	for context, answer := range r.reads {
		answer <- readAnswer{err: fault.New(fault.NoQuorum, "%v", raft.ErrNotLeader)}
		delete(r.reads, context)
	}
	r.readyReads = nil
}

// ChangeMembership commits one change of the replicas.
func (r *Replica) ChangeMembership(ctx context.Context, action raft.MembershipAction, id string) (m raft.Membership, err error) {
	answer := make(chan proposalAnswer, 1)
	err = r.call(ctx, func() {
		index, term, err := r.node.ChangeMembership(action, id)
		if err != nil {
			answer <- proposalAnswer{err: fault.New(membershipCode(err), "%v", err)}
			return
		}
		r.waiting[index] = waiter{term: term, answer: answer}
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
	// A pending change ends soon: a new leader first commits an entry of its own.
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrTransferInProgress) || errors.Is(err, raft.ErrChangePending) {
		return fault.NoQuorum
	}
	return fault.Conflict
}

// HandOver asks another replica to lead and waits until this one doesn't, or
// the context ends.
func (r *Replica) HandOver(ctx context.Context) {
	started := false
	if err := r.call(ctx, func() { started = r.node.TransferLeadership("") }); err != nil || !started {
		return
	}
	for r.Status().Role == raft.Leader && ctx.Err() == nil {
		time.Sleep(r.options.TickEvery / 2)
	}
}

// call runs a function on the replica's goroutine.
func (r *Replica) call(ctx context.Context, work func()) error {
	done := make(chan struct{})
	select {
	case r.calls <- func() { work(); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return fault.New(fault.NoQuorum, "the replica did not answer in time")
	}
}
