// Package raft is the consensus of the control log as a deterministic step
// function: ticks and messages go in; messages, entries to persist and
// committed entries come out. It does no input or output and reads no clock.
//
// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014) with pre-vote, check-quorum,
// learners, single-server membership changes, leadership transfer and
// read-index reads.
package raft

import "slices"

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNoop EntryKind = iota
	EntryCommand
	EntryMembership
)

// Entry is one record of the log.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership // of EntryMembership
}

// Membership is the set of replicas. Learners receive the log and don't count
// for a majority.
type Membership struct {
	Voters   []string
	Learners []string
}

// Has tells whether a replica is a voter or a learner.
func (m Membership) Has(id string) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// IsVoter tells whether a replica counts for a majority.
func (m Membership) IsVoter(id string) bool {
	return slices.Contains(m.Voters, id)
}

func (m Membership) quorum() int {
	return len(m.Voters)/2 + 1
}

// Snapshot replaces all entries up to its index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// HardState must be on disk before any message that follows from it is sent.
type HardState struct {
	Term   uint64
	Vote   string
	Commit uint64
}

// MessageKind names a message.
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

// Message travels between replicas. Messages may be lost, repeated and
// reordered.
type Message struct {
	Kind     MessageKind
	From     string
	To       string
	Term     uint64
	LogIndex uint64 // Append: entry before the first; votes: last entry; replies: last matching entry
	LogTerm  uint64
	Commit   uint64
	Reject   bool
	Hint     uint64 // rejected Append: where to look for a match
	Context  uint64 // Heartbeat: read round; Vote: 1 for a transfer of leadership
	Entries  []Entry
	Snapshot *Snapshot
}

// ReadState tells that reads asked under Context are linearizable once the
// state has been applied up to Index.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is what the driver has to do, in this order: persist the snapshot, the
// entries and the hard state, sync if MustSync, send the messages, apply the
// committed entries, call Advance.
type Ready struct {
	Snapshot  *Snapshot
	Entries   []Entry
	HardState HardState
	MustSync  bool
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Role is the part that a replica plays.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Config holds the settings of a replica. Times are in ticks.
type Config struct {
	ID              string
	ElectionTicks   int // a follower campaigns after 1 to 2 times this
	HeartbeatTicks  int
	MaxBatchEntries int
	MaxInFlight     int // append messages per follower
	Random          func(n int) int
}
