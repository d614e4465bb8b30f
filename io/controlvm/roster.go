package controlvm

import (
	"slices"
	"time"

	"kingcuprill/core/raft"
)

type rosterChange struct {
	action raft.MembershipAction
	id     string
}

// caughtUpWithin is how many entries a learner may lack to be made a voter.
const caughtUpWithin = 8

// replaceAfter is how long a voter is silent before a learner takes its place,
// in ticks of the control log: 3 s.
const replaceAfter = 66

// nextChange returns the change of the replicas that is due next. A replica that
// is in no set, or hears no leader, asks to be added. The leader removes a
// replica whose address a new one has, makes learners voters until there are
// enough, and lets a learner take the place of a voter that is silent: first
// it becomes a voter, then the silent one is removed.
func nextChange(status raft.Status, self string, voters int, unled time.Duration) (change rosterChange, wanted bool) {
	m := status.Membership
	if status.Role != raft.Leader {
		return rosterChange{action: raft.AddLearner, id: self}, !m.Has(self) || unled > askAgainAfter
	}
	silent, found := mostSilent(status, self)
	if found && len(m.Voters) > voters {
		return rosterChange{action: raft.Remove, id: silent}, true
	}
	for _, learner := range m.Learners {
		if status.Match[learner]+caughtUpWithin < status.LastIndex || status.TicksSinceReply[learner] > replaceAfter {
			continue
		}
		if old, found := predecessor(m, learner); found {
			return rosterChange{action: raft.Remove, id: old}, true
		}
		if len(m.Voters) < voters || (found && len(m.Voters) == voters) {
			return rosterChange{action: raft.Promote, id: learner}, true
		}
	}
	return rosterChange{}, false
}

// askAgainAfter is how long a replica hears no leader before it asks whether it
// has been removed meanwhile.
const askAgainAfter = 5 * time.Second

// mostSilent returns the voter that has been silent for longest, if it is for
// too long.
func mostSilent(status raft.Status, self string) (id string, found bool) {
	most := replaceAfter
	for _, voter := range status.Membership.Voters {
		if voter != self && status.TicksSinceReply[voter] > most {
			id, most = voter, status.TicksSinceReply[voter]
		}
	}
	return id, id != ""
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
