package raft_test

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"kingcuprill/core/raft"
)

var (
	seeds     = flag.Uint64("raft.seeds", 1500, "number of seeds of the simulation")
	firstSeed = flag.Uint64("raft.first_seed", 1, "first seed of the simulation")
)

// disk is what a replica has synced to disk.
type disk struct {
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
}

func (d *disk) save(hard raft.HardState, entries []raft.Entry) {
	d.hard = hard
	for _, entry := range entries {
		offset := int(entry.Index - d.snapshot.Index - 1)
		d.entries = append(d.entries[:offset:offset], entry)
	}
}

func (d *disk) install(snapshot raft.Snapshot) {
	d.snapshot = snapshot
	d.entries = nil
}

func (d *disk) compact(snapshot raft.Snapshot) {
	d.entries = slices.Clone(d.entries[snapshot.Index-d.snapshot.Index:])
	d.snapshot = snapshot
}

// replica is one simulated replica with its state machine: the sequence of
// applied commands.
type replica struct {
	id        string
	node      *raft.Node
	disk      disk
	state     []byte // applied commands, 8 bytes each
	applied   uint64
	downSteps int // steps until it restarts, 0 while it runs
	reads     map[uint64]uint64
}

// delivery is a message on its way and the step at which it arrives.
type delivery struct {
	deliverAt int
	message   raft.Message
}

// simulation is one run with one seed.
type simulation struct {
	t                 *testing.T
	seed              uint64
	random            *rand.Rand
	replicas          map[string]*replica
	ids               []string
	inTransit         []delivery
	step              int
	cutLinks          map[[2]string]bool
	faulty            bool
	leaders           map[uint64]string     // by term
	committed         map[uint64]raft.Entry // by index
	highestCommitted  uint64                // highest committed index seen anywhere
	acknowledged      uint64                // highest index acknowledged to a client
	lastCommand       uint64                // last proposed command
	proposed          map[uint64]uint64     // index to term of proposals at their leader
	membershipChanges int
	answered          int // reads
}

const (
	maxVoters           = 5
	recoverySteps       = 3000
	faultSteps          = 600
	compactEveryEntries = 40
)

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), replicas: map[string]*replica{}, cutLinks: map[[2]string]bool{},
		leaders: map[uint64]string{}, committed: map[uint64]raft.Entry{}, proposed: map[uint64]uint64{},
	}
	voters := 1 + 2*s.random.IntN(3)
	first := raft.Membership{}
	for i := range maxVoters + 1 {
		id := fmt.Sprint("r", i)
		s.ids = append(s.ids, id)
		if i < voters {
			first.Voters = append(first.Voters, id)
		}
	}
	for i, id := range s.ids {
		r := &replica{id: id}
		if i < voters {
			r.disk.snapshot.Membership = first
		}
		s.replicas[id] = r
		s.start(r)
	}
	return s
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d step %d: %s", s.seed, s.step, fmt.Sprintf(format, args...))
}

func (s *simulation) start(r *replica) {
	config := raft.Config{
		ID: r.id, ElectionTicks: 10, HeartbeatTicks: 3, MaxBatchEntries: 4, MaxInFlight: 3, Random: s.random.IntN,
	}
	if s.seed%2 == 1 {
		config.MaxBatchBytes, config.MaxInFlightBytes, config.HeartbeatBytes = 20, 40, 16 // an entry has 8
	}
	r.node = raft.NewNode(config, r.disk.hard, r.disk.snapshot, slices.Clone(r.disk.entries))
	r.state = slices.Clone(r.disk.snapshot.Data)
	r.applied = r.disk.snapshot.Index
	r.reads = map[uint64]uint64{}
	r.downSteps = 0
}

// handleReady carries out a replica's Ready. While faults are injected, the
// replica may crash before the disk write, after it, or after sending.
func (s *simulation) handleReady(r *replica) {
	for {
		ready, found := r.node.Ready()
		if !found {
			return
		}
		crash := s.faulty && s.random.IntN(400) == 0
		point := s.random.IntN(3)
		if crash && point == 0 {
			s.crash(r)
			return
		}
		if ready.Snapshot != nil {
			r.disk.install(*ready.Snapshot)
		}
		r.disk.save(ready.HardState, ready.Entries)
		if crash && point == 1 {
			s.crash(r)
			return
		}
		s.send(ready.Messages)
		if crash {
			s.crash(r)
			return
		}
		s.apply(r, ready)
		r.node.Advance(ready)
		s.answerReads(r, ready.Reads)
		s.maybeCompact(r)
		s.checkLeader(r)
	}
}

func (s *simulation) crash(r *replica) {
	r.downSteps = 1 + s.random.IntN(60)
}

func (s *simulation) send(messages []raft.Message) {
	for _, m := range messages {
		if s.cutLinks[[2]string{m.From, m.To}] || (s.faulty && s.random.IntN(12) == 0) {
			continue
		}
		copies := 1
		if s.faulty && s.random.IntN(20) == 0 {
			copies = 2
		}
		for range copies {
			delay := 1 + s.random.IntN(3)
			if s.faulty && s.random.IntN(15) == 0 {
				delay += s.random.IntN(40)
			}
			s.inTransit = append(s.inTransit, delivery{deliverAt: s.step + delay, message: m})
		}
	}
}

func (s *simulation) apply(r *replica, ready raft.Ready) {
	if ready.Snapshot != nil {
		r.state = slices.Clone(ready.Snapshot.Data)
		r.applied = ready.Snapshot.Index
	}
	for _, entry := range ready.Committed {
		if entry.Index != r.applied+1 {
			s.fail("%s applies entry %d after %d", r.id, entry.Index, r.applied)
		}
		r.applied = entry.Index
		s.checkCommitted(r, entry)
		if entry.Kind == raft.EntryCommand {
			r.state = append(r.state, entry.Data...)
		}
		if term, own := s.proposed[entry.Index]; own && term == entry.Term && r.node.Status().Role == raft.Leader {
			s.acknowledged = max(s.acknowledged, entry.Index)
		}
	}
}

// checkCommitted checks state-machine safety: all replicas apply the same entry at
// an index.
func (s *simulation) checkCommitted(r *replica, entry raft.Entry) {
	known, found := s.committed[entry.Index]
	if !found {
		s.committed[entry.Index] = entry
		s.highestCommitted = max(s.highestCommitted, entry.Index)
		return
	}
	if known.Term != entry.Term || !bytes.Equal(known.Data, entry.Data) {
		s.fail("%s applies entry %d of term %d, others have applied term %d", r.id, entry.Index, entry.Term, known.Term)
	}
}

// checkLeader checks election safety (one leader in a term) and leader
// completeness (a new leader's log reaches the last committed entry).
func (s *simulation) checkLeader(r *replica) {
	status := r.node.Status()
	if status.Role != raft.Leader {
		return
	}
	if other, found := s.leaders[status.Term]; found && other != r.id {
		s.fail("%s and %s both lead in term %d", other, r.id, status.Term)
	}
	if _, found := s.leaders[status.Term]; !found {
		s.leaders[status.Term] = r.id
		if status.LastIndex < s.highestCommitted {
			s.fail("%s leads in term %d with %d entries, %d are committed", r.id, status.Term, status.LastIndex, s.highestCommitted)
		}
	}
}

func (s *simulation) maybeCompact(r *replica) {
	if r.applied < r.disk.snapshot.Index+compactEveryEntries {
		return
	}
	snapshot, err := r.node.Compact(r.applied, slices.Clone(r.state))
	if err != nil {
		s.fail("%s: %v", r.id, err)
	}
	r.disk.compact(snapshot)
}

func (s *simulation) answerReads(r *replica, reads []raft.ReadState) {
	s.answered += len(reads)
	for _, read := range reads {
		if needed := r.reads[read.Context]; read.Index < needed {
			s.fail("%s answers a read at index %d, %d was acknowledged before it was asked", r.id, read.Index, needed)
		}
	}
}

// tick advances the run by one step.
func (s *simulation) tick() {
	s.step++
	for _, id := range s.ids {
		r := s.replicas[id]
		if r.downSteps > 0 {
			r.downSteps--
			if r.downSteps == 0 {
				s.start(r)
			}
			continue
		}
		if !s.faulty || s.random.IntN(20) > 0 { // clocks run at different rates
			r.node.Tick()
		}
		if s.faulty && s.random.IntN(300) == 0 { // a clock jumps ahead
			for range 15 {
				r.node.Tick()
			}
		}
		s.handleReady(r)
	}
	s.deliver()
}

func (s *simulation) deliver() {
	due := []delivery{}
	later := []delivery{}
	for _, d := range s.inTransit {
		if d.deliverAt <= s.step {
			due = append(due, d)
		} else {
			later = append(later, d)
		}
	}
	s.inTransit = later
	for _, d := range due {
		r := s.replicas[d.message.To]
		if r.downSteps == 0 {
			r.node.Step(d.message)
			s.handleReady(r)
		}
	}
}

// actOnReplica makes a random request of a client or an operator at a random
// replica.
func (s *simulation) actOnReplica() {
	r := s.replicas[s.ids[s.random.IntN(len(s.ids))]]
	if r.downSteps > 0 {
		return
	}
	switch s.random.IntN(10) {
	case 0:
		s.changeMembership(r)
	case 1:
		s.read(r)
	case 2:
		if s.random.IntN(20) == 0 {
			r.node.TransferLeadership("")
		}
	default:
		s.propose(r)
	}
	s.handleReady(r)
}

func (s *simulation) propose(r *replica) {
	s.lastCommand++
	index, term, err := r.node.Propose(binary.BigEndian.AppendUint64(nil, s.lastCommand))
	if err == nil {
		s.proposed[index] = term
	}
}

func (s *simulation) read(r *replica) {
	context := uint64(s.step)<<8 | uint64(s.random.IntN(256))
	if r.node.ReadIndex(context) == nil {
		r.reads[context] = s.acknowledged
	}
}

func (s *simulation) changeMembership(r *replica) {
	other := s.ids[s.random.IntN(len(s.ids))]
	actions := []raft.MembershipAction{raft.AddLearner, raft.Promote, raft.Remove}
	action := actions[s.random.IntN(len(actions))]
	membership := r.node.Status().Membership
	if action == raft.Remove && membership.IsVoter(other) && len(membership.Voters) <= 2 {
		return // keep enough voters for the run to converge
	}
	if _, _, err := r.node.ChangeMembership(action, other); err == nil {
		s.membershipChanges++
	}
}

// injectFaults cuts links between replicas, in one direction or both, restores
// them, and restarts all replicas at once.
func (s *simulation) injectFaults() {
	switch s.random.IntN(40) {
	case 0:
		a, b := s.ids[s.random.IntN(len(s.ids))], s.ids[s.random.IntN(len(s.ids))]
		s.cutLinks[[2]string{a, b}] = true
	case 1:
		isolated := s.ids[s.random.IntN(len(s.ids))]
		for _, id := range s.ids {
			s.cutLinks[[2]string{isolated, id}] = true
			s.cutLinks[[2]string{id, isolated}] = true
		}
	case 2, 3:
		s.cutLinks = map[[2]string]bool{}
	case 4:
		if s.random.IntN(10) == 0 { // all replicas crash at once
			for _, id := range s.ids {
				s.crash(s.replicas[id])
			}
		}
	}
}

// expectConvergence ends all faults and expects that new entries are committed
// and that all members reach equal states.
func (s *simulation) expectConvergence() {
	s.faulty = false
	s.cutLinks = map[[2]string]bool{}
	before := s.highestCommitted
	for range recoverySteps {
		s.tick()
		if s.step%20 == 0 {
			for _, id := range s.ids {
				if r := s.replicas[id]; r.downSteps == 0 && r.node.Status().Role == raft.Leader {
					s.propose(r)
					s.handleReady(r)
				}
			}
		}
		if s.highestCommitted > before+3 && s.statesEqual() {
			return
		}
	}
	s.fail("no progress or no equal states after all faults have ended: newest %d, was %d", s.highestCommitted, before)
}

func (s *simulation) statesEqual() bool {
	var leader *replica
	for _, id := range s.ids {
		if r := s.replicas[id]; r.downSteps == 0 && r.node.Status().Role == raft.Leader {
			leader = r
		}
	}
	if leader == nil || leader.applied < s.acknowledged {
		return false
	}
	membership := leader.node.Status().Membership
	for _, id := range s.ids {
		if membership.Has(id) && !bytes.Equal(s.replicas[id].state, leader.state) {
			return false
		}
	}
	return true
}

// TestSimulation runs replicas under message loss, repetition and reordering,
// one-way partitions, crashes before and after each disk write, clock jumps and
// membership changes. It checks election safety, leader completeness,
// state-machine safety and linearizable reads at every step, and progress at the
// end.
func TestSimulation(t *testing.T) {
	total := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		s := newSimulation(t, seed)
		for range 30 {
			s.tick()
		}
		s.faulty = true
		for range faultSteps {
			s.injectFaults()
			s.actOnReplica()
			s.tick()
		}
		s.expectConvergence()
		total += s.membershipChanges
	}
	if total == 0 {
		t.Fatal("no run has changed the membership")
	}
}

// TestIsolatedReplicaDoesNotDisrupt partitions one replica for 2000 steps and
// expects that its return changes neither the leader nor the term (pre-vote).
func TestIsolatedReplicaDoesNotDisrupt(t *testing.T) {
	s := newSimulation(t, 3) // three voters or more
	for s.replicas[s.ids[0]].node.Status().Leader == "" {
		s.tick()
	}
	leader := s.replicas[s.ids[0]].node.Status().Leader
	term := s.replicas[leader].node.Status().Term
	isolated := ""
	for _, id := range s.replicas[leader].node.Status().Membership.Voters {
		if id != leader {
			isolated = id
		}
	}
	for _, id := range s.ids {
		s.cutLinks[[2]string{isolated, id}], s.cutLinks[[2]string{id, isolated}] = true, true
	}
	for range 2000 {
		s.tick()
	}
	s.cutLinks = map[[2]string]bool{}
	for range 100 {
		s.tick()
	}
	status := s.replicas[leader].node.Status()
	if status.Role != raft.Leader || status.Term != term {
		t.Fatalf("after the return, %s is %v in term %d; it led in term %d", leader, status.Role, status.Term, term)
	}
	if got := s.replicas[isolated].node.Status(); got.Leader != leader {
		t.Fatalf("the returned replica follows %q, not %q", got.Leader, leader)
	}
}

// TestPausedLeaderAnswersNoRead stops the ticks of a partitioned leader while the
// others elect a new one and commit. A read at the old leader must not be
// answered, as it would miss those entries.
func TestPausedLeaderAnswersNoRead(t *testing.T) {
	s := newSimulation(t, 3)
	for range 60 {
		s.tick()
	}
	old := s.replicas[s.replicas[s.ids[0]].node.Status().Leader]
	for _, id := range s.ids {
		s.cutLinks[[2]string{old.id, id}], s.cutLinks[[2]string{id, old.id}] = true, true
	}
	before := s.highestCommitted
	for s.highestCommitted < before+2 {
		s.step++
		for _, id := range s.ids {
			r := s.replicas[id]
			if r == old {
				continue
			}
			r.node.Tick()
			if r.node.Status().Role == raft.Leader {
				s.propose(r)
			}
			s.handleReady(r)
		}
		s.deliver()
	}
	if old.node.Status().Role != raft.Leader {
		t.Fatal("the paused replica doesn't lead any more; the test shows nothing")
	}
	s.acknowledged = s.highestCommitted
	s.read(old)
	s.handleReady(old) // fails the test if the read is answered
}
