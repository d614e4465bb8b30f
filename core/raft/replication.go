package raft

import (
	"errors"
	"slices"
)

// ErrNotLeader reports that only the leader can do this; ask another replica.
var ErrNotLeader = errors.New("this replica is not the leader of the control log")

// ErrTransferInProgress reports that a leadership transfer is under way; the
// caller may try again at the next leader.
var ErrTransferInProgress = errors.New("the leader of the control log is transferring leadership; try again")

// progress is the leader's view of one replica.
type progress struct {
	match            uint64 // last entry known to be on its disk
	next             uint64 // next entry to send
	inFlight         int    // append messages without a reply
	probing          bool   // one message at a time until a matching entry is found
	heartbeatReplies int    // heartbeats answered since the last append reply, one in HeartbeatTicks
	active           bool   // replied since the last quorum check
	snapshot         uint64 // index of the snapshot being sent, 0 for none
	ticksSinceReply  int    // since the last reply of any kind

	ticksSinceCounted int // since the last reply in heartbeatReplies
}

// heartbeatsToResend is the number of heartbeat replies without an append reply
// after which unanswered append messages without data count as lost.
const heartbeatsToResend = 2

// heartbeatsToResendSnapshot is the same for a snapshot, which takes longer to
// send.
const heartbeatsToResendSnapshot = 20

// Propose appends a command to the leader's log and returns the index and term
// of its entry. The command is committed only if an entry with both is later
// applied. The error is ErrNotLeader or ErrTransferInProgress.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferee != "" {
		return 0, 0, ErrTransferInProgress
	}
	index = n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return index, n.term, nil
}

// appendEntry appends an entry of the leader's term and sends it to all replicas.
func (n *Node) appendEntry(entry Entry) (index uint64) {
	entry.Index = n.log.lastIndex() + 1
	entry.Term = n.term
	n.log.append(entry)
	n.addMemberships([]Entry{entry})
	for _, id := range n.Membership().members() {
		n.sendAppend(id)
	}
	return entry.Index
}

// sendAppend sends a replica the entries that it lacks, as many as its window of
// unanswered messages allows, or a snapshot where the entries are compacted.
func (n *Node) sendAppend(id string) {
	p := n.progress[id]
	if id == n.config.ID || p == nil || p.snapshot != 0 {
		return
	}
	for n.hasRoom(p) && (p.next <= n.log.lastIndex() || p.probing) {
		before, known := n.log.term(p.next - 1)
		if !known {
			n.sendSnapshot(id, p)
			return
		}
		last := n.batchEnd(p.next)
		entries := slices.Clone(n.log.slice(p.next, last))
		n.send(Message{Kind: Append, To: id, LogIndex: p.next - 1, LogTerm: before, Commit: n.commit, Entries: entries})
		p.inFlight++
		if !p.probing {
			p.next = last + 1
		}
	}
}

func (n *Node) window(p *progress) int {
	if p.probing {
		return 1
	}
	return n.config.MaxInFlight
}

func (n *Node) sendSnapshot(id string, p *progress) {
	p.snapshot = n.log.snapshot.Index
	p.heartbeatReplies = 0
	snapshot := n.log.snapshot
	n.send(Message{Kind: InstallSnapshot, To: id, Snapshot: &snapshot, Commit: n.commit})
}

func (n *Node) handleAppend(m Message) {
	n.followLeader(m.From)
	reply := Message{Kind: AppendReply, To: m.From}
	if m.LogIndex < n.commit {
		reply.LogIndex = n.commit
		n.send(reply)
		return
	}
	if !n.log.matches(m.LogIndex, m.LogTerm) {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.Hint = n.matchHint(m.LogIndex)
		n.send(reply)
		return
	}
	n.appendFromLeader(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	reply.LogIndex = last
	n.send(reply)
}

// matchHint returns the highest index at or below index at which the leader's log
// may match this one. It skips the whole conflicting term.
func (n *Node) matchHint(index uint64) uint64 {
	if index > n.log.lastIndex() {
		return n.log.lastIndex()
	}
	return max(n.log.firstOfTerm(index)-1, n.commit)
}

func (n *Node) appendFromLeader(entries []Entry) {
	for i, entry := range entries {
		if n.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= n.log.lastIndex() {
			n.log.truncateAfter(entry.Index-1, n.commit)
			n.persisting = min(n.persisting, entry.Index-1)
			n.truncateMembershipsAfter(entry.Index - 1)
		}
		n.log.append(entries[i:]...)
		n.addMemberships(entries[i:])
		return
	}
}

func (n *Node) followLeader(leader string) {
	if n.role != Follower {
		n.becomeFollower(n.term, leader)
	}
	n.leader = leader
	n.electionElapsed = 0
}

func (n *Node) handleAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.active = true
	p.ticksSinceReply = 0
	p.heartbeatReplies = 0
	p.inFlight = max(0, p.inFlight-1)
	if m.Reject {
		if m.LogIndex > p.match {
			p.next = max(p.match+1, min(m.Hint+1, p.next))
			p.probing = true
			p.inFlight = 0
		}
		n.sendAppend(m.From)
		return
	}
	p.match = max(p.match, min(m.LogIndex, n.log.lastIndex()))
	p.next = max(p.next, p.match+1)
	p.probing = false
	if p.snapshot != 0 && p.match >= p.snapshot {
		p.snapshot = 0
		p.inFlight = 0
	}
	n.advanceCommit()
	n.sendAppend(m.From)
	if m.From == n.transferee {
		n.tryTransfer()
	}
}

// advanceCommit commits the entries that a majority has on disk. Entries of
// earlier terms are committed only together with one of the current term
// (section 5.4.2 of the Raft paper).
func (n *Node) advanceCommit() {
	matches := make([]uint64, 0, len(n.Membership().Voters))
	for _, id := range n.Membership().Voters {
		matches = append(matches, n.progress[id].match)
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-n.Membership().quorum()]
	term, _ := n.log.term(candidate)
	if candidate <= n.commit || term != n.term {
		return
	}
	n.commit = candidate
	n.completeReads()
	for _, id := range n.Membership().members() {
		n.sendCommit(id)
	}
}

// sendCommit tells a replica, ahead of the next heartbeat, which of its entries
// are committed.
func (n *Node) sendCommit(id string) {
	p := n.progress[id]
	if id != n.config.ID && p.snapshot == 0 && p.match > 0 {
		n.send(Message{Kind: Heartbeat, To: id, Commit: min(n.commit, p.match), Context: n.reads.round})
	}
}

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.Membership().members() {
		if id != n.config.ID {
			commit := min(n.commit, n.progress[id].match)
			n.send(Message{Kind: Heartbeat, To: id, Commit: commit, Context: n.reads.round})
		}
	}
}

func (n *Node) handleHeartbeat(m Message) {
	n.followLeader(m.From)
	n.commit = max(n.commit, min(m.Commit, n.log.lastIndex()))
	n.send(Message{Kind: HeartbeatReply, To: m.From, Context: m.Context})
}

func (n *Node) handleHeartbeatReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.active = true
	p.ticksSinceReply = 0
	n.reads.acknowledge(m.From, m.Context)
	n.completeReads()
	if p.match >= n.log.lastIndex() {
		return
	}
	if p.ticksSinceCounted >= n.config.HeartbeatTicks {
		p.ticksSinceCounted = 0
		p.heartbeatReplies++
	}
	if p.heartbeatReplies > n.repliesToResend(p) {
		p.heartbeatReplies = 0
		p.snapshot = 0
		p.inFlight = 0
		p.probing = true
		p.next = p.match + 1
	}
	n.sendAppend(m.From)
}

func (n *Node) handleSnapshot(m Message) {
	n.followLeader(m.From)
	reply := Message{Kind: AppendReply, To: m.From, LogIndex: n.commit}
	snapshot := *m.Snapshot
	switch {
	case snapshot.Index <= n.commit:
	case n.log.matches(snapshot.Index, snapshot.Term):
		n.commit = snapshot.Index
		reply.LogIndex = snapshot.Index
	default:
		n.log.restore(snapshot)
		n.memberships = []membershipAt{{index: snapshot.Index, membership: snapshot.Membership}}
		n.commit = snapshot.Index
		n.applied = snapshot.Index
		n.applying = snapshot.Index
		n.persisting = snapshot.Index
		n.held = 0
		n.pendingSnapshot = &snapshot
		reply.LogIndex = snapshot.Index
	}
	n.send(reply)
}
