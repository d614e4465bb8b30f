package raft_test

import (
	"testing"

	"kingcuprill/core/raft"
)

// A learner that was removed while it was cut off must not take its old leader for alive.
func TestRemovedLearnerForgetsItsLeader(t *testing.T) {
	config := raft.Config{
		ID: "d", ElectionTicks: 10, HeartbeatTicks: 3, MaxBatchEntries: 4, MaxInFlight: 3, Random: func(int) int { return 0 },
	}
	first := raft.Membership{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}
	n := raft.NewNode(config, raft.HardState{Term: 1}, raft.Snapshot{Membership: first}, nil)
	n.Step(raft.Message{Kind: raft.Heartbeat, From: "a", To: "d", Term: 1})
	if n.Status().Leader != "a" {
		t.Fatalf("it follows %q, want a", n.Status().Leader)
	}
	for range 20 {
		n.Tick()
	}
	if status := n.Status(); status.Leader != "" || status.Role != raft.Follower {
		t.Errorf("without a heartbeat it follows %q as %v, want no leader as a follower", status.Leader, status.Role)
	}
}
