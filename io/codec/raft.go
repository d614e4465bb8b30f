package codec

import (
	"math"

	"kingcuprill/core/raft"
	"kingcuprill/rpc/state"
)

// FromMembership maps a membership to its message.
func FromMembership(m raft.Membership) *state.Membership {
	return &state.Membership{Voters: m.Voters, Learners: m.Learners}
}

// ToMembership maps a message to a membership.
func ToMembership(m *state.Membership) raft.Membership {
	return raft.Membership{Voters: m.GetVoters(), Learners: m.GetLearners()}
}

// FromEntry maps a log entry to its message.
func FromEntry(e raft.Entry) *state.Entry {
	m := &state.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	if e.Membership != nil {
		m.Membership = FromMembership(*e.Membership)
	}
	return m
}

// ToEntry maps a message to a log entry.
func ToEntry(m *state.Entry) raft.Entry {
	kind := raft.EntryKind(min(m.GetKind(), math.MaxUint8))
	e := raft.Entry{Index: m.GetIndex(), Term: m.GetTerm(), Kind: kind, Data: m.GetData()}
	if m.GetMembership() != nil {
		e.Membership = ptr(ToMembership(m.GetMembership()))
	}
	return e
}

// FromLogSnapshot maps a snapshot of the log to its message.
func FromLogSnapshot(s raft.Snapshot) *state.LogSnapshot {
	return &state.LogSnapshot{Index: s.Index, Term: s.Term, Membership: FromMembership(s.Membership), Data: s.Data}
}

// ToLogSnapshot maps a message to a snapshot of the log.
func ToLogSnapshot(m *state.LogSnapshot) raft.Snapshot {
	return raft.Snapshot{Index: m.GetIndex(), Term: m.GetTerm(), Membership: ToMembership(m.GetMembership()), Data: m.GetData()}
}

// FromHardState maps a hard state to its message.
func FromHardState(h raft.HardState) *state.HardState {
	return &state.HardState{Term: h.Term, Vote: h.Vote, Commit: h.Commit}
}

// ToHardState maps a message to a hard state.
func ToHardState(m *state.HardState) raft.HardState {
	return raft.HardState{Term: m.GetTerm(), Vote: m.GetVote(), Commit: m.GetCommit()}
}

// FromMessage maps a message between replicas to its schema message.
func FromMessage(m raft.Message) *state.Message {
	out := &state.Message{
		Kind: uint32(m.Kind), From: m.From, To: m.To, Term: m.Term, LogIndex: m.LogIndex, LogTerm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, Hint: m.Hint, Context: m.Context,
		Entries: mapAll(m.Entries, FromEntry),
	}
	if m.Snapshot != nil {
		out.Snapshot = FromLogSnapshot(*m.Snapshot)
	}
	return out
}

// ToMessage maps a schema message to a message between replicas.
func ToMessage(m *state.Message) raft.Message {
	out := raft.Message{
		Kind: raft.MessageKind(m.GetKind()), From: m.GetFrom(), To: m.GetTo(), Term: m.GetTerm(), LogIndex: m.GetLogIndex(),
		LogTerm: m.GetLogTerm(), Commit: m.GetCommit(), Reject: m.GetReject(), Hint: m.GetHint(), Context: m.GetContext(),
		Entries: mapAll(m.GetEntries(), ToEntry),
	}
	if m.GetSnapshot() != nil {
		out.Snapshot = ptr(ToLogSnapshot(m.GetSnapshot()))
	}
	return out
}
