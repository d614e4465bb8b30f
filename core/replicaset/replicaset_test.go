package replicaset

import (
	"testing"
	"time"

	"kingcuprill/core/raft"
)

func TestNext(t *testing.T) {
	leader := func(voters, learners []string, silent map[string]int) raft.Status {
		status := raft.Status{
			Role: raft.Leader, LastIndex: 100, Membership: raft.Membership{Voters: voters, Learners: learners},
			Match: map[string]uint64{}, TicksSinceReply: silent,
		}
		for _, id := range append(voters, learners...) {
			status.Match[id] = 100
		}
		return status
	}
	behind := leader([]string{"a", "b"}, []string{"d"}, nil)
	behind.Match["d"] = 10
	const dead = replaceAfterTicks + 1
	tests := []struct {
		name        string
		status      raft.Status
		sinceLeader time.Duration
		action      raft.MembershipAction // empty: none
		id          string
	}{
		{"all is well", leader([]string{"a", "b", "c"}, nil, nil), 0, "", ""},
		{"a voter is silent, nobody can take its place", leader([]string{"a", "b", "c"}, nil, map[string]int{"b": dead}), 0, "", ""},
		{"too few voters", leader([]string{"a", "b"}, []string{"d"}, nil), 0, raft.Promote, "d"},
		{"too few voters, the learner is behind", behind, 0, "", ""},
		{"the learner has the address of a lost disk", leader([]string{"a", "b", "c"}, []string{"b#1"}, nil), 0, raft.Remove, "b"},
		{"a learner at an address of its own", leader([]string{"a", "b", "c"}, []string{"d"}, nil), 0, "", ""},
		{"a voter is gone, a learner is there", leader([]string{"a", "b", "c"}, []string{"d"}, map[string]int{"b": dead}), 0, raft.Promote, "d"},
		{"the learner has taken its place", leader([]string{"a", "b", "c", "d"}, nil, map[string]int{"b": dead}), 0, raft.Remove, "b"},
		{"more voters than needed, all answer", leader([]string{"a", "b", "c", "d"}, nil, nil), 0, "", ""},
		{"the learner is gone as well", leader([]string{"a", "b", "c"}, []string{"d"}, map[string]int{"b": dead, "d": dead}), 0, "", ""},
		{"in no set", raft.Status{Membership: raft.Membership{Voters: []string{"b"}}}, 0, raft.AddLearner, "a"},
		{"hears no leader", raft.Status{Membership: raft.Membership{Voters: []string{"a", "b"}}}, time.Minute, raft.AddLearner, "a"},
		{"hears a leader", raft.Status{Membership: raft.Membership{Voters: []string{"a", "b"}}}, 0, "", ""},
	}
	for _, test := range tests {
		change, wanted := Next(test.status, "a", 3, test.sinceLeader)
		if wanted != (test.action != "") || (wanted && (change.Action != test.action || change.ID != test.id)) {
			t.Errorf("%s: %v %v %q, want %q %q", test.name, wanted, change.Action, change.ID, test.action, test.id)
		}
	}
}
