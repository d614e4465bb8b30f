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

// disk is what a replica has synced.
type disk struct {
	hard     raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
}

func (d *disk) save(hard raft.HardState, entries []raft.Entry) {
	d.hard = hard
	for _, entry := range entries {
		place := int(entry.Index - d.snapshot.Index - 1)
		d.entries = append(d.entries[:place:place], entry)
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
	id      string
	node    *raft.Node
	disk    disk
	state   []byte // applied commands, 8 bytes each
	applied uint64
	down    int // steps until it restarts, 0 while it runs
	reads   map[uint64]uint64
}

type flight struct {
	at      int
	message raft.Message
}

// world is one run.
type world struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	replicas  map[string]*replica
	ids       []string
	flights   []flight
	step      int
	cut       map[[2]string]bool
	lossy     bool
	leaders   map[uint64]string     // by term
	committed map[uint64]raft.Entry // by index
	newest    uint64                // highest committed index seen anywhere
	acked     uint64                // highest index acknowledged to a client
	command   uint64                // last proposed command
	proposed  map[uint64]uint64     // index to term of proposals at their leader
	changes   int
}

const (
	maxVoters    = 5
	calmSteps    = 3000
	stormSteps   = 600
	compactEvery = 40
)

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), replicas: map[string]*replica{}, cut: map[[2]string]bool{},
		leaders: map[uint64]string{}, committed: map[uint64]raft.Entry{}, proposed: map[uint64]uint64{},
	}
	voters := 1 + 2*w.random.IntN(3)
	first := raft.Membership{}
	for i := range maxVoters + 1 {
		id := fmt.Sprint("r", i)
		w.ids = append(w.ids, id)
		if i < voters {
			first.Voters = append(first.Voters, id)
		}
	}
	for i, id := range w.ids {
		r := &replica{id: id}
		if i < voters {
			r.disk.snapshot.Membership = first
		}
		w.replicas[id] = r
		w.boot(r)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d step %d: %s", w.seed, w.step, fmt.Sprintf(format, args...))
}

func (w *world) boot(r *replica) {
	config := raft.Config{
		ID: r.id, ElectionTicks: 10, HeartbeatTicks: 3, MaxBatchEntries: 4, MaxInFlight: 3, Random: w.random.IntN,
	}
	r.node = raft.NewNode(config, r.disk.hard, r.disk.snapshot, slices.Clone(r.disk.entries))
	r.state = slices.Clone(r.disk.snapshot.Data)
	r.applied = r.disk.snapshot.Index
	r.reads = map[uint64]uint64{}
	r.down = 0
}

// work carries out a replica's Ready. Crash chooses a point at which the
// replica stops: before the disk, after it, or after sending.
func (w *world) work(r *replica) {
	for {
		ready, found := r.node.Ready()
		if !found {
			return
		}
		crash := w.lossy && w.random.IntN(400) == 0
		point := w.random.IntN(3)
		if crash && point == 0 {
			w.crash(r)
			return
		}
		if ready.Snapshot != nil {
			r.disk.install(*ready.Snapshot)
		}
		r.disk.save(ready.HardState, ready.Entries)
		if crash && point == 1 {
			w.crash(r)
			return
		}
		w.send(ready.Messages)
		if crash {
			w.crash(r)
			return
		}
		w.apply(r, ready)
		r.node.Advance(ready)
		w.answerReads(r, ready.Reads)
		w.maybeCompact(r)
		w.check(r)
	}
}

func (w *world) crash(r *replica) {
	r.down = 1 + w.random.IntN(60)
}

func (w *world) send(messages []raft.Message) {
	for _, m := range messages {
		if w.cut[[2]string{m.From, m.To}] || (w.lossy && w.random.IntN(12) == 0) {
			continue
		}
		copies := 1
		if w.lossy && w.random.IntN(20) == 0 {
			copies = 2
		}
		for range copies {
			delay := 1 + w.random.IntN(3)
			if w.lossy && w.random.IntN(15) == 0 {
				delay += w.random.IntN(40)
			}
			w.flights = append(w.flights, flight{at: w.step + delay, message: m})
		}
	}
}

func (w *world) apply(r *replica, ready raft.Ready) {
	if ready.Snapshot != nil {
		r.state = slices.Clone(ready.Snapshot.Data)
		r.applied = ready.Snapshot.Index
	}
	for _, entry := range ready.Committed {
		if entry.Index != r.applied+1 {
			w.fail("%s applies entry %d after %d", r.id, entry.Index, r.applied)
		}
		r.applied = entry.Index
		w.commit(r, entry)
		if entry.Kind == raft.EntryCommand {
			r.state = append(r.state, entry.Data...)
		}
		if term, own := w.proposed[entry.Index]; own && term == entry.Term && r.node.Status().Role == raft.Leader {
			w.acked = max(w.acked, entry.Index)
		}
	}
}

// commit checks state-machine safety: one entry for each index, everywhere.
func (w *world) commit(r *replica, entry raft.Entry) {
	known, found := w.committed[entry.Index]
	if !found {
		w.committed[entry.Index] = entry
		w.newest = max(w.newest, entry.Index)
		return
	}
	if known.Term != entry.Term || !bytes.Equal(known.Data, entry.Data) {
		w.fail("%s applies entry %d of term %d, others have applied term %d", r.id, entry.Index, entry.Term, known.Term)
	}
}

// check tests election safety and leader completeness.
func (w *world) check(r *replica) {
	status := r.node.Status()
	if status.Role != raft.Leader {
		return
	}
	if other, found := w.leaders[status.Term]; found && other != r.id {
		w.fail("%s and %s both lead in term %d", other, r.id, status.Term)
	}
	if _, found := w.leaders[status.Term]; !found {
		w.leaders[status.Term] = r.id
		if status.LastIndex < w.newest {
			w.fail("%s leads in term %d with %d entries, %d are committed", r.id, status.Term, status.LastIndex, w.newest)
		}
	}
}

func (w *world) maybeCompact(r *replica) {
	if r.applied < r.disk.snapshot.Index+compactEvery {
		return
	}
	snapshot, err := r.node.Compact(r.applied, slices.Clone(r.state))
	if err != nil {
		w.fail("%s: %v", r.id, err)
	}
	r.disk.compact(snapshot)
}

func (w *world) answerReads(r *replica, reads []raft.ReadState) {
	for _, read := range reads {
		if needed := r.reads[read.Context]; read.Index < needed {
			w.fail("%s answers a read at index %d, %d was acknowledged before it was asked", r.id, read.Index, needed)
		}
	}
}

// tick advances the run by one step.
func (w *world) tick() {
	w.step++
	for _, id := range w.ids {
		r := w.replicas[id]
		if r.down > 0 {
			r.down--
			if r.down == 0 {
				w.boot(r)
			}
			continue
		}
		if !w.lossy || w.random.IntN(20) > 0 { // clocks don't run evenly
			r.node.Tick()
		}
		if w.lossy && w.random.IntN(300) == 0 { // a clock jumps
			for range 15 {
				r.node.Tick()
			}
		}
		w.work(r)
	}
	w.deliver()
}

func (w *world) deliver() {
	due := []flight{}
	later := []flight{}
	for _, f := range w.flights {
		if f.at <= w.step {
			due = append(due, f)
		} else {
			later = append(later, f)
		}
	}
	w.flights = later
	for _, f := range due {
		r := w.replicas[f.message.To]
		if r.down == 0 {
			r.node.Step(f.message)
			w.work(r)
		}
	}
}

// act lets clients and operators do something at random replicas.
func (w *world) act() {
	r := w.replicas[w.ids[w.random.IntN(len(w.ids))]]
	if r.down > 0 {
		return
	}
	switch w.random.IntN(10) {
	case 0:
		w.changeMembership(r)
	case 1:
		w.read(r)
	case 2:
		if w.random.IntN(20) == 0 {
			r.node.Transfer("")
		}
	default:
		w.propose(r)
	}
	w.work(r)
}

func (w *world) propose(r *replica) {
	w.command++
	index, term, err := r.node.Propose(binary.BigEndian.AppendUint64(nil, w.command))
	if err == nil {
		w.proposed[index] = term
	}
}

func (w *world) read(r *replica) {
	context := uint64(w.step)<<8 | uint64(w.random.IntN(256))
	if r.node.ReadIndex(context) == nil {
		r.reads[context] = w.acked
	}
}

func (w *world) changeMembership(r *replica) {
	other := w.ids[w.random.IntN(len(w.ids))]
	actions := []raft.MembershipAction{raft.AddLearner, raft.Promote, raft.Remove}
	action := actions[w.random.IntN(len(actions))]
	membership := r.node.Status().Membership
	if action == raft.Remove && membership.IsVoter(other) && len(membership.Voters) <= 2 {
		return // the run needs a majority to end
	}
	if _, _, err := r.node.ChangeMembership(action, other); err == nil {
		w.changes++
	}
}

// disturb cuts and heals ways between replicas, one way or both.
func (w *world) disturb() {
	switch w.random.IntN(40) {
	case 0:
		a, b := w.ids[w.random.IntN(len(w.ids))], w.ids[w.random.IntN(len(w.ids))]
		w.cut[[2]string{a, b}] = true
	case 1:
		alone := w.ids[w.random.IntN(len(w.ids))]
		for _, id := range w.ids {
			w.cut[[2]string{alone, id}] = true
			w.cut[[2]string{id, alone}] = true
		}
	case 2, 3:
		w.cut = map[[2]string]bool{}
	case 4:
		if w.random.IntN(10) == 0 { // all restart at once
			for _, id := range w.ids {
				w.crash(w.replicas[id])
			}
		}
	}
}

// converge ends all faults and expects progress and equal states.
func (w *world) converge() {
	w.lossy = false
	w.cut = map[[2]string]bool{}
	before := w.newest
	for range calmSteps {
		w.tick()
		if w.step%20 == 0 {
			for _, id := range w.ids {
				if r := w.replicas[id]; r.down == 0 && r.node.Status().Role == raft.Leader {
					w.propose(r)
					w.work(r)
				}
			}
		}
		if w.newest > before+3 && w.equal() {
			return
		}
	}
	w.fail("no progress or no equal states after all faults have ended: newest %d, was %d", w.newest, before)
}

func (w *world) equal() bool {
	var leader *replica
	for _, id := range w.ids {
		if r := w.replicas[id]; r.down == 0 && r.node.Status().Role == raft.Leader {
			leader = r
		}
	}
	if leader == nil || leader.applied < w.acked {
		return false
	}
	membership := leader.node.Status().Membership
	for _, id := range w.ids {
		if membership.Has(id) && !bytes.Equal(w.replicas[id].state, leader.state) {
			return false
		}
	}
	return true
}

// TestSimulation runs replicas under loss, repetition, reorder, one-way cuts,
// crashes at each point of the disk's work, clock jumps and changes of the
// membership. It checks election safety, leader completeness, state-machine
// safety and linearizable reads at every step, and progress at the end.
func TestSimulation(t *testing.T) {
	total := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		w := newWorld(t, seed)
		for range 30 {
			w.tick()
		}
		w.lossy = true
		for range stormSteps {
			w.disturb()
			w.act()
			w.tick()
		}
		w.converge()
		total += w.changes
	}
	if total == 0 {
		t.Fatal("no run has changed the membership")
	}
}

// TestIsolatedReplicaDoesNotDisrupt cuts one replica off for long and expects
// the leader and its term to stay as they are when it returns.
func TestIsolatedReplicaDoesNotDisrupt(t *testing.T) {
	w := newWorld(t, 3) // three voters or more
	for w.replicas[w.ids[0]].node.Status().Leader == "" {
		w.tick()
	}
	leader := w.replicas[w.ids[0]].node.Status().Leader
	term := w.replicas[leader].node.Status().Term
	alone := ""
	for _, id := range w.replicas[leader].node.Status().Membership.Voters {
		if id != leader {
			alone = id
		}
	}
	for _, id := range w.ids {
		w.cut[[2]string{alone, id}], w.cut[[2]string{id, alone}] = true, true
	}
	for range 2000 {
		w.tick()
	}
	w.cut = map[[2]string]bool{}
	for range 100 {
		w.tick()
	}
	status := w.replicas[leader].node.Status()
	if status.Role != raft.Leader || status.Term != term {
		t.Fatalf("after the return, %s is %v in term %d; it led in term %d", leader, status.Role, status.Term, term)
	}
	if got := w.replicas[alone].node.Status(); got.Leader != leader {
		t.Fatalf("the returned replica follows %q, not %q", got.Leader, leader)
	}
}

// TestPausedLeaderAnswersNoRead freezes the leader's clock, lets others elect
// another and commit, and expects that a read at the old leader isn't answered.
func TestPausedLeaderAnswersNoRead(t *testing.T) {
	w := newWorld(t, 3)
	for range 60 {
		w.tick()
	}
	old := w.replicas[w.replicas[w.ids[0]].node.Status().Leader]
	for _, id := range w.ids {
		w.cut[[2]string{old.id, id}], w.cut[[2]string{id, old.id}] = true, true
	}
	before := w.newest
	for w.newest < before+2 {
		w.step++
		for _, id := range w.ids {
			r := w.replicas[id]
			if r == old {
				continue
			}
			r.node.Tick()
			if r.node.Status().Role == raft.Leader {
				w.propose(r)
			}
			w.work(r)
		}
		w.deliver()
	}
	if old.node.Status().Role != raft.Leader {
		t.Fatal("the paused replica doesn't lead any more; the test shows nothing")
	}
	w.acked = w.newest
	w.read(old)
	w.work(old) // fails the test if the read is answered
}
