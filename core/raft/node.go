package raft

import "fmt"

type membershipAt struct {
	index      uint64
	membership Membership
}

// Node is one replica. It is not safe for concurrent use.
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

	installed *Snapshot
	messages  []Message
	ready     []ReadState
	saved     HardState
	handed    uint64 // last entry handed out to persist
	applying  uint64 // last entry handed out to apply
}

// NewNode returns a replica as it stood on disk. A new replica starts from a
// snapshot at index 0 that holds the first membership.
func NewNode(config Config, state HardState, snapshot Snapshot, entries []Entry) *Node {
	n := &Node{
		config:   config,
		term:     state.Term,
		vote:     state.Vote,
		commit:   max(state.Commit, snapshot.Index),
		applied:  snapshot.Index,
		applying: snapshot.Index,
		saved:    state,
		reads:    readQueue{},
	}
	n.log.restore(snapshot)
	n.log.append(entries...)
	n.log.stable = n.log.lastIndex()
	n.handed = n.log.stable
	n.commit = min(n.commit, n.log.lastIndex())
	n.memberships = []membershipAt{{index: snapshot.Index, membership: snapshot.Membership}}
	n.noteMemberships(entries)
	n.becomeFollower(state.Term, "")
	return n
}

// Status is a view of a replica.
type Status struct {
	ID         string
	Role       Role
	Term       uint64
	Leader     string
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Snapshot   uint64 // index of the newest snapshot
	Membership Membership
	Match      map[string]uint64 // on the leader, by replica
	Silent     map[string]int    // on the leader, ticks since a replica's last answer
}

// Status returns how the replica stands.
func (n *Node) Status() Status {
	status := Status{
		ID: n.config.ID, Role: n.role, Term: n.term, Leader: n.leader, Commit: n.commit, Applied: n.applied,
		LastIndex: n.log.lastIndex(), Snapshot: n.log.snapshot.Index, Membership: n.Membership(),
	}
	if n.role == Leader {
		status.Match = make(map[string]uint64, len(n.progress))
		status.Silent = make(map[string]int, len(n.progress))
		for id, p := range n.progress {
			status.Match[id] = p.match
			status.Silent[id] = p.silent
		}
	}
	return status
}

// Membership returns the membership in force.
func (n *Node) Membership() Membership {
	return n.memberships[len(n.memberships)-1].membership
}

// Tick advances the replica's time by one step.
func (n *Node) Tick() {
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout && n.Membership().IsVoter(n.config.ID) {
		n.campaign(PreCandidate, false)
	}
}

func (n *Node) tickLeader() {
	n.heartbeatElapsed++
	for id, p := range n.progress {
		if id != n.config.ID {
			p.silent++
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

// Step takes in one message.
func (n *Node) Step(m Message) {
	if m.To != n.config.ID {
		return
	}
	if m.Term > n.term && !n.acceptHigherTerm(m) {
		return
	}
	if m.Term < n.term {
		n.answerLowerTerm(m)
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
		if n.Membership().IsVoter(n.config.ID) {
			n.campaign(Candidate, true)
		}
	}
}

// acceptHigherTerm moves to the term of a message. It tells whether the
// message is to be handled at all.
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

// answerLowerTerm tells a former leader, or a candidate that lags, which term
// has come.
func (n *Node) answerLowerTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, InstallSnapshot:
		n.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: n.log.lastIndex()})
	case PreVote:
		n.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
	}
}

// hasLiveLeader tells whether a leader was heard within an election timeout.
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

// Ready returns the work for the driver, and whether there is any. Every Ready
// must be followed by Advance before the next one.
func (n *Node) Ready() (ready Ready, found bool) {
	ready = Ready{
		Snapshot:  n.installed,
		Entries:   n.log.slice(n.handed+1, n.log.lastIndex()),
		HardState: HardState{Term: n.term, Vote: n.vote, Commit: n.commit},
		Messages:  n.messages,
		Reads:     n.ready,
	}
	if n.installed == nil && n.commit > n.applying {
		// Only what is on disk here is applied.
		last := min(n.commit, n.log.stable)
		ready.Committed = n.log.slice(n.applying+1, last)
	}
	ready.MustSync = len(ready.Entries) > 0 || ready.Snapshot != nil ||
		ready.HardState.Term != n.saved.Term || ready.HardState.Vote != n.saved.Vote
	found = ready.MustSync || ready.HardState != n.saved || len(ready.Messages) > 0 ||
		len(ready.Committed) > 0 || len(ready.Reads) > 0
	if !found {
		return Ready{}, false
	}
	n.messages = nil
	n.ready = nil
	n.installed = nil
	n.saved = ready.HardState
	n.handed = n.log.lastIndex()
	if len(ready.Committed) > 0 {
		n.applying = ready.Committed[len(ready.Committed)-1].Index
	}
	return ready, true
}

// Advance tells that the work of the last Ready is done.
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

// Compact replaces the applied entries up to index by a snapshot of the state
// at that index.
func (n *Node) Compact(index uint64, data []byte) (snapshot Snapshot, err error) {
	if index > n.applied || index <= n.log.snapshot.Index {
		return Snapshot{}, fmt.Errorf("index %d is outside the applied entries %d to %d", index, n.log.snapshot.Index+1, n.applied)
	}
	term, _ := n.log.term(index)
	snapshot = Snapshot{Index: index, Term: term, Membership: n.membershipAt(index), Data: data}
	n.log.compact(snapshot)
	n.dropMembershipsBefore(index)
	return snapshot, nil
}

// Persisted returns the entries behind the snapshot that are on disk.
func (n *Node) Persisted() []Entry {
	return n.log.slice(n.log.snapshot.Index+1, n.log.stable)
}
