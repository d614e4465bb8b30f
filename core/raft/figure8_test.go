package raft_test

import (
	"testing"

	"kingcuprill/core/raft"
)

// TestEarlierTermIsNotCommittedByCount follows figure 8 of the Raft paper: an
// entry of an earlier term that is on a majority must not be committed before an
// entry of the leader's current term is.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	first := raft.Membership{Voters: []string{"a", "b", "c"}}
	config := raft.Config{
		ID: "a", ElectionTicks: 10, HeartbeatTicks: 3, MaxBatchEntries: 4, MaxInFlight: 3, Random: func(int) int { return 0 },
	}
	old := []raft.Entry{{Index: 1, Term: 2, Kind: raft.EntryCommand, Data: []byte("old")}}
	n := raft.NewNode(config, raft.HardState{Term: 3}, raft.Snapshot{Membership: first}, old)
	for range 10 {
		n.Tick()
	}
	handleAllReady(n)
	n.Step(raft.Message{Kind: raft.PreVoteReply, From: "b", To: "a", Term: 4})
	n.Step(raft.Message{Kind: raft.VoteReply, From: "b", To: "a", Term: 4})
	handleAllReady(n)
	if n.Status().Role != raft.Leader {
		t.Fatalf("the replica is %v, not the leader", n.Status().Role)
	}
	n.Step(raft.Message{Kind: raft.AppendReply, From: "b", To: "a", Term: 4, LogIndex: 1})
	handleAllReady(n)
	if commit := n.Status().Commit; commit != 0 {
		t.Fatalf("entry %d of an earlier term is committed by count", commit)
	}
	n.Step(raft.Message{Kind: raft.AppendReply, From: "b", To: "a", Term: 4, LogIndex: 2})
	handleAllReady(n)
	if commit := n.Status().Commit; commit != 2 {
		t.Fatalf("commit is %d after the own term's entry is on a majority, not 2", commit)
	}
}

func handleAllReady(n *raft.Node) {
	for {
		ready, found := n.Ready()
		if !found {
			return
		}
		n.Advance(ready)
	}
}
