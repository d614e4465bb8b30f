package raft_test

import (
	"testing"

	"kingcuprill/core/raft"
)

// holding returns a replica that can't apply its entry 2, and has applied entry 1.
func holding(t *testing.T) *raft.Node {
	t.Helper()
	first := raft.Membership{Voters: []string{"a", "b", "c"}}
	config := raft.Config{
		ID: "a", ElectionTicks: 10, HeartbeatTicks: 3, MaxBatchEntries: 4, MaxInFlight: 3, Random: func(int) int { return 0 },
	}
	n := raft.NewNode(config, raft.HardState{Term: 1, Commit: 2}, raft.Snapshot{Membership: first}, []raft.Entry{
		{Index: 1, Term: 1, Kind: raft.EntryCommand}, {Index: 2, Term: 1, Kind: raft.EntryCommand},
	})
	ready, _ := n.Ready()
	if len(ready.Committed) != 2 {
		t.Fatalf("%d entries to apply, want 2", len(ready.Committed))
	}
	n.Hold(2)
	ready.Committed = ready.Committed[:1]
	n.Advance(ready)
	return n
}

// sent advances a replica and returns the kinds of the messages that it sends, and how
// many entries it gives to apply.
func sent(n *raft.Node) (kinds []raft.MessageKind, committed int) {
	for {
		ready, found := n.Ready()
		if !found {
			return kinds, committed
		}
		for _, m := range ready.Messages {
			if !m.Reject {
				kinds = append(kinds, m.Kind)
			}
		}
		committed += len(ready.Committed)
		n.Advance(ready)
	}
}

// TestHoldingReplicaFollows gives a replica that can't apply an entry time, messages of a
// leader and a candidate, and a snapshot.
func TestHoldingReplicaFollows(t *testing.T) {
	n := holding(t)
	for range 100 {
		n.Tick()
	}
	n.Step(raft.Message{Kind: raft.TimeoutNow, From: "b", To: "a", Term: 1})
	if kinds, _ := sent(n); len(kinds) > 0 || n.Status().Role != raft.Follower {
		t.Errorf("it sends messages %v as %v, want none as a follower", kinds, n.Status().Role)
	}
	n.Step(raft.Message{Kind: raft.Vote, From: "b", To: "a", Term: 2, LogIndex: 2, LogTerm: 1})
	if kinds, _ := sent(n); len(kinds) != 1 || kinds[0] != raft.VoteReply {
		t.Errorf("it answers a candidate with %v, want its vote", kinds)
	}
	third := raft.Entry{Index: 3, Term: 2, Kind: raft.EntryCommand}
	n.Step(raft.Message{Kind: raft.Append, From: "b", To: "a", Term: 2, LogIndex: 2, LogTerm: 1, Commit: 3, Entries: []raft.Entry{third}})
	kinds, committed := sent(n)
	if len(kinds) != 1 || kinds[0] != raft.AppendReply || committed > 0 || n.Status().Applied != 1 || n.Status().LastIndex != 3 {
		t.Errorf("it answers an entry with %v and gives %d to apply, %+v; want it stored and none given", kinds, committed, n.Status())
	}
	snapshot := raft.Snapshot{Index: 4, Term: 2, Membership: n.Membership()}
	n.Step(raft.Message{Kind: raft.InstallSnapshot, From: "b", To: "a", Term: 2, Commit: 5, Snapshot: &snapshot})
	sent(n)
	n.Step(raft.Message{Kind: raft.Append, From: "b", To: "a", Term: 2, LogIndex: 4, LogTerm: 2, Commit: 5, Entries: []raft.Entry{{Index: 5, Term: 2, Kind: raft.EntryCommand}}})
	if _, committed := sent(n); committed != 1 || n.Status().Held != 0 {
		t.Errorf("%d entries to apply after a snapshot, %d held, want 1 and none", committed, n.Status().Held)
	}
}
