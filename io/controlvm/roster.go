package controlvm

import (
	"slices"

	"kingcuprill/core/raft"
)

type rosterChange struct {
	action raft.MembershipAction
	id     string
}

// caughtUpWithin is how many entries a learner may lack to be made a voter.
const caughtUpWithin = 8

// nextChange returns the change of the replicas that is due next. A replica that is in no set
// asks to be added. The leader removes a replica whose place a new one at the
// same address has taken, and makes learners voters until there are enough.
func nextChange(status raft.Status, self string, voters int) (change rosterChange, wanted bool) {
	m := status.Membership
	if status.Role != raft.Leader {
		return rosterChange{action: raft.AddLearner, id: self}, !m.Has(self)
	}
	for _, learner := range m.Learners {
		if status.Match[learner]+caughtUpWithin < status.LastIndex {
			continue
		}
		if old, found := predecessor(m, learner); found {
			return rosterChange{action: raft.Remove, id: old}, true
		}
		if len(m.Voters) < voters {
			return rosterChange{action: raft.Promote, id: learner}, true
		}
	}
	return rosterChange{}, false
}

// predecessor returns the replica that had the address of a learner before.
func predecessor(m raft.Membership, learner string) (id string, found bool) {
	address, _ := addressOf(learner)
	for _, other := range append(slices.Clone(m.Voters), m.Learners...) {
		at, _ := addressOf(other)
		if other != learner && at == address {
			return other, true
		}
	}
	return "", false
}
