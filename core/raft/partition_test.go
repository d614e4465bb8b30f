package raft_test

import (
	"testing"

	"kingcuprill/core/raft"
)

// newPartialPartition returns a simulation of five voters with a leader, and the two voters
// that will be cut off from it, but not from the other two.
func newPartialPartition(t *testing.T, seed uint64) (s *simulation, leader *replica, separated []*replica, found bool) {
	s = newSimulation(t, seed)
	voters := s.replicas[s.ids[0]].node.Status().Membership.Voters
	if len(voters) != 5 {
		return s, nil, nil, false
	}
	for range 100 {
		s.tick()
	}
	leader = s.replicas[s.replicas[s.ids[0]].node.Status().Leader]
	for _, id := range voters {
		if id != leader.id && len(separated) < 2 {
			separated = append(separated, s.replicas[id])
		}
	}
	return s, leader, separated, true
}

// cutOff separates two replicas, or joins them again.
func (s *simulation) cutOff(a, b string, separated bool) {
	s.cutLinks[[2]string{a, b}], s.cutLinks[[2]string{b, a}] = separated, separated
}

// expectService runs for some steps and expects that what the leader is asked every ten
// steps is confirmed, and committed where it is a change, and that it leads on in its term.
func (s *simulation) expectService(leader *replica, term uint64, steps int, changes bool, when string) {
	const period, longest = 10, 20 // steps; a round trip and a heartbeat take nine at most
	for begun := s.step; s.step < begun+steps; {
		before, answered := s.highestCommitted, s.answered
		if changes {
			s.propose(leader)
		}
		s.read(leader)
		s.handleReady(leader)
		asked := s.step
		for (changes && s.highestCommitted == before) || s.answered == answered || s.step < asked+period {
			s.tick()
			if s.step > asked+longest {
				s.fail("%s: %d entries are committed and %d reads answered after %d steps", when, s.highestCommitted-before, s.answered-answered, longest)
			}
		}
		if status := leader.node.Status(); status.Role != raft.Leader || status.Term != term {
			s.fail("%s: the leader of term %d is %v in term %d", when, term, status.Role, status.Term)
		}
	}
}

// Two regions are cut off from each other, and the third one reaches both. The replicas of
// the region without the leader ask for votes all the time, also while their logs are as new
// as all others. They must not disturb the leader: entries must be committed, and reads confirmed, during the partition and right
// after it, and those replicas must catch up soon.
func TestPartialPartitionKeepsTheLeader(t *testing.T) {
	runs := 0
	for seed := range uint64(60) {
		s, leader, separated, found := newPartialPartition(t, seed)
		if !found {
			continue
		}
		runs++
		term := leader.node.Status().Term
		for _, changes := range []bool{true, false, true} {
			for _, r := range separated {
				s.cutOff(leader.id, r.id, true)
			}
			s.expectService(leader, term, 200+int(seed), changes, "during the partition")
			for _, r := range separated {
				s.cutOff(leader.id, r.id, false)
			}
			s.expectService(leader, term, 60, changes, "after the partition")
			for _, r := range separated {
				if status := r.node.Status(); status.Leader != leader.id || status.Commit+3 < leader.node.Status().Commit {
					s.fail("%s follows %q and has %d of %d entries", r.id, status.Leader, status.Commit, leader.node.Status().Commit)
				}
			}
		}
	}
	if runs < 5 {
		t.Fatalf("only %d of the seeds have five voters", runs)
	}
}
