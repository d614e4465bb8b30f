// Package raft replicates a log among control VMs with the Raft algorithm
// (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014), extended by pre-vote, check-quorum, learners,
// single-server membership changes, leadership transfer and read-index reads.
//
// A Node is a deterministic state machine. The driver feeds it ticks, received
// messages and proposals, and carries out the work that Ready returns: entries
// to persist, messages to send and committed entries to apply. The package does
// no input or output and reads no clock; all times are in ticks.
//
// Every replica applies the same entries in the same order, provided that the
// driver syncs to disk before it sends messages. Messages may be lost, repeated
// and reordered; Byzantine replicas are not tolerated.
package raft

import "slices"

// EntryKind is the type of an entry's content.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryMembership
)

// Entry is one record of the log. Indexes start at 1.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership // set for EntryMembership only
}

// Membership is the set of replicas. Learners receive the log but neither vote
// nor count towards a quorum.
type Membership struct {
	Voters   []string
	Learners []string
}

// members returns all voters and learners.
func (m Membership) members() []string {
	return slices.Concat(m.Voters, m.Learners)
}

// Has reports whether a replica is a voter or a learner.
func (m Membership) Has(id string) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// IsVoter reports whether a replica votes and counts towards a quorum.
func (m Membership) IsVoter(id string) bool {
	return slices.Contains(m.Voters, id)
}

func (m Membership) quorum() int {
	return len(m.Voters)/2 + 1
}

// Snapshot replaces all entries up to and including its index. Data is the
// application's state after that entry.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// HardState must be on disk before any message that depends on it is sent.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// MessageKind is the type of a message.
type MessageKind uint8

// Kinds of messages.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Heartbeat
	HeartbeatReply
	InstallSnapshot
	TimeoutNow
)

// Message is sent between replicas. Messages may be lost, repeated and
// reordered. The meaning of some fields depends on the kind.
type Message struct {
	Kind     MessageKind
	From     string
	To       string
	Term     uint64
	LogIndex uint64 // Append: entry before the first one sent; votes: last entry; AppendReply: last matching or rejected entry
	LogTerm  uint64 // of the entry at LogIndex, in Append and votes
	Commit   uint64
	Reject   bool
	Hint     uint64 // rejected Append: highest index that may match
	Context  uint64 // Heartbeat: read round; Vote: 1 for a leadership transfer
	Entries  []Entry
	Snapshot *Snapshot
}

// ReadState confirms a call of ReadIndex: reads under Context are linearizable
// once entries up to Index have been applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the work for the driver, in this order: persist the snapshot, the
// entries and the hard state, sync if MustSync is set, send the messages, apply
// the snapshot and the committed entries, call Advance. Reads may be answered
// once their index has been applied.
type Ready struct {
	Snapshot  *Snapshot
	Entries   []Entry
	HardState HardState
	MustSync  bool
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Role is the state of a replica in elections.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in snake case.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Config holds the settings of a replica.
type Config struct {
	ID              string
	ElectionTicks   int             // a follower campaigns after 1 to 2 times this without a leader
	HeartbeatTicks  int             // between a leader's heartbeats
	MaxBatchEntries int             // entries per append message
	MaxInFlight     int             // unanswered append messages per follower
	Random          func(n int) int // returns a number in [0, n)

	// Bounds of the entries' data in bytes; 0 is none.

	MaxBatchBytes    int // per append message of more than one entry
	MaxInFlightBytes int // unanswered per follower, after which nothing more is sent
	HeartbeatBytes   int // that surely arrive between two heartbeats, for the time until messages count as lost
}
