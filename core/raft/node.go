package raft

import "fmt"

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// Node is one replica of the log. It is not safe for concurrent use.
type Node struct {
	config Config

	role   Role
	term   uint64
	vote   string
	leader string

	log     entryLog
	commit  uint64
	applied uint64

	memberships []membershipAt // by index; the last one is in force
	progress    map[string]*progress
	granted     map[string]bool

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	transferee       string

	reads readQueue

	pendingSnapshot *Snapshot
	messages        []Message
	readStates      []ReadState
	lastHardState   HardState
	persisting      uint64 // last entry returned by Ready to be persisted
	applying        uint64 // last entry returned by Ready to be applied
	held            uint64 // first entry that the driver can't apply, 0 for none
}

// NewNode returns a replica that resumes from its state on disk. The first
// replicas of a cluster start from a snapshot at index 0 that holds the first
// membership.
func NewNode(config Config, state HardState, snapshot Snapshot, entries []Entry) *Node {
	n := &Node{
		config:        config,
		term:          state.Term,
		vote:          state.Vote,
		commit:        max(state.Commit, snapshot.Index),
		applied:       snapshot.Index,
		applying:      snapshot.Index,
		lastHardState: state,
		reads:         readQueue{},
	}
	n.log.restore(snapshot)
	n.log.append(entries...)
	n.log.stable = n.log.lastIndex()
	n.persisting = n.log.stable
	n.commit = min(n.commit, n.log.lastIndex())
	n.memberships = []membershipAt{{index: snapshot.Index, membership: snapshot.Membership}}
	n.addMemberships(entries)
	n.becomeFollower(state.Term, "")
	return n
}

// Status is a snapshot of a replica's state, for monitoring and decisions on the
// membership.
type Status struct {
	ID              string
	Role            Role
	Term            uint64
	Leader          string
	Commit          uint64
	Applied         uint64
	LastIndex       uint64
	Snapshot        uint64 // index of the newest snapshot
	Held            uint64 // first entry that the driver can't apply, 0 for none
	Membership      Membership
	ChangePending   bool              // the membership isn't known to be committed
	Match           map[string]uint64 // leader only: last entry known to be on disk, by replica
	TicksSinceReply map[string]int    // leader only: ticks since the last reply, by replica
}

// Status returns the replica's state.
func (n *Node) Status() Status {
	status := Status{
		ID: n.config.ID, Role: n.role, Term: n.term, Leader: n.leader, Commit: n.commit, Applied: n.applied,
		LastIndex: n.log.lastIndex(), Snapshot: n.log.snapshot.Index, Held: n.held, Membership: n.Membership(),
		ChangePending: n.changePending(),
	}
	if n.role == Leader {
		status.Match = make(map[string]uint64, len(n.progress))
		status.TicksSinceReply = make(map[string]int, len(n.progress))
		for id, p := range n.progress {
			status.Match[id] = p.match
			status.TicksSinceReply[id] = p.ticksSinceReply
		}
	}
	return status
}

// Membership returns the newest membership in the log, which is in force even
// before it is committed.
func (n *Node) Membership() Membership {
	return n.memberships[len(n.memberships)-1].membership
}

// Tick advances the replica's time by one tick.
func (n *Node) Tick() {
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed < n.electionTimeout {
		return
	}
	if n.mayLead() {
		n.campaign(PreCandidate, false)
		return
	}
	n.leader = "" // it may have been removed meanwhile
}

// mayLead reports whether the replica votes and can apply all entries. A leader answers
// for what it has applied.
func (n *Node) mayLead() bool {
	return n.held == 0 && n.Membership().IsVoter(n.config.ID)
}

// Hold reports, before Advance, that the driver can't apply the entry at an index. The
// replica then returns no more committed entries and doesn't lead, but votes and keeps the
// log. A later snapshot ends this.
func (n *Node) Hold(index uint64) {
	n.held = index
	n.applied = index - 1
	n.applying = n.applied
	if n.role != Follower {
		n.becomeFollower(n.term, "")
	}
}

func (n *Node) tickLeader() {
	n.heartbeatElapsed++
	for id, p := range n.progress {
		if id != n.config.ID {
			p.ticksSinceReply++
			p.ticksSinceCounted++
		}
	}
	if n.electionElapsed >= n.config.ElectionTicks {
		n.electionElapsed = 0
		n.transferee = ""
		if !n.heardFromQuorum() {
			n.becomeFollower(n.term, "")
			return
		}
	}
	if n.heartbeatElapsed >= n.config.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat()
	}
}

// Step handles a received message. Messages to another replica are ignored.
func (n *Node) Step(m Message) {
	if m.To != n.config.ID {
		return
	}
	if m.Term > n.term && !n.acceptHigherTerm(m) {
		return
	}
	if m.Term < n.term {
		n.rejectLowerTerm(m)
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.handleVoteRequest(m)
	case PreVoteReply, VoteReply:
		n.handleVoteReply(m)
	case Append:
		n.handleAppend(m)
	case Heartbeat:
		n.handleHeartbeat(m)
	case InstallSnapshot:
		n.handleSnapshot(m)
	case AppendReply:
		n.handleAppendReply(m)
	case HeartbeatReply:
		n.handleHeartbeatReply(m)
	case TimeoutNow:
		if n.mayLead() {
			n.campaign(Candidate, true)
		}
	}
}

// acceptHigherTerm adopts the term of a message where its kind calls for it, and
// reports whether the message is to be handled.
func (n *Node) acceptHigherTerm(m Message) bool {
	switch m.Kind {
	case PreVote:
		return true
	case PreVoteReply:
		if !m.Reject {
			return true
		}
	case Vote:
		if m.Context == 0 && n.hasLiveLeader() {
			return false
		}
	}
	leader := ""
	if m.Kind == Append || m.Kind == Heartbeat || m.Kind == InstallSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// rejectLowerTerm tells a former leader, or a candidate with an old term, the
// current term.
func (n *Node) rejectLowerTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallSnapshot:
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: n.log.lastIndex()})
	case PreVote:
		n.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// hasLiveLeader reports whether a leader was heard from within the election
// timeout.
func (n *Node) hasLiveLeader() bool {
	return n.leader != "" && n.electionElapsed < n.config.ElectionTicks
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.granted = nil
	n.transferee = ""
	n.reads = readQueue{}
	n.resetElection()
}

func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.config.ElectionTicks + n.config.Random(n.config.ElectionTicks)
}

func (n *Node) send(m Message) {
	m.From = n.config.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Ready returns the work for the driver, and whether there is any. The driver
// must call Advance before it calls Ready again.
func (n *Node) Ready() (ready Ready, found bool) {
	ready = Ready{
		Snapshot:  n.pendingSnapshot,
		Entries:   n.log.slice(n.persisting+1, n.log.lastIndex()),
		HardState: HardState{Term: n.term, Vote: n.vote, Commit: n.commit},
		Messages:  n.messages,
		Reads:     n.readStates,
	}
	if n.pendingSnapshot == nil && n.held == 0 && n.commit > n.applying {
		// Apply only entries that are on this replica's disk.
		last := min(n.commit, n.log.stable)
		ready.Committed = n.log.slice(n.applying+1, last)
	}
	ready.MustSync = len(ready.Entries) > 0 || ready.Snapshot != nil ||
		ready.HardState.Term != n.lastHardState.Term || ready.HardState.Vote != n.lastHardState.Vote
	found = ready.MustSync || ready.HardState != n.lastHardState || len(ready.Messages) > 0 ||
		len(ready.Committed) > 0 || len(ready.Reads) > 0
	if !found {
		return Ready{}, false
	}
	n.messages = nil
	n.readStates = nil
	n.pendingSnapshot = nil
	n.lastHardState = ready.HardState
	n.persisting = n.log.lastIndex()
	if len(ready.Committed) > 0 {
		n.applying = ready.Committed[len(ready.Committed)-1].Index
	}
	return ready, true
}

// Advance reports that the work of the last Ready is done.
func (n *Node) Advance(ready Ready) {
	if count := len(ready.Entries); count > 0 {
		last := ready.Entries[count-1]
		if n.log.matches(last.Index, last.Term) {
			n.log.stable = max(n.log.stable, last.Index)
		}
	}
	if count := len(ready.Committed); count > 0 {
		n.applied = ready.Committed[count-1].Index
	}
	if n.role == Leader {
		n.progress[n.config.ID].match = n.log.stable
		n.advanceCommit()
	}
}

// Compact replaces the applied entries up to index by a snapshot. Data is the
// application's state after that entry. Compact fails if the entry is not
// applied yet or is compacted already.
func (n *Node) Compact(index uint64, data []byte) (snapshot Snapshot, err error) {
	if index > n.applied || index <= n.log.snapshot.Index {
		return Snapshot{}, fmt.Errorf("control log can't be compacted up to entry %d: only entries %d to %d are applied and not compacted yet", index, n.log.snapshot.Index+1, n.applied)
	}
	term, _ := n.log.term(index)
	snapshot = Snapshot{Index: index, Term: term, Membership: n.membershipAt(index), Data: data}
	n.log.compact(snapshot)
	n.compactMembershipsTo(index)
	return snapshot, nil
}

// Persisted returns the entries after the snapshot that are on disk.
func (n *Node) Persisted() []Entry {
	return n.log.slice(n.log.snapshot.Index+1, n.log.stable)
}
