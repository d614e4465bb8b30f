package controlvm

import (
	"slices"
	"time"

	"kingcuprill/core/raft"
)

type membershipChange struct {
	action raft.MembershipAction
	id     string
}

// maxLearnerLag is how many log entries a learner may lack to be promoted to
// voter.
const maxLearnerLag = 8

// replaceAfterTicks is how long a voter may be silent before a learner replaces
// it, in ticks of the control log: 3 s.
const replaceAfterTicks = 66

// nextChange returns the next membership change that a replica should propose, where
// voters is the intended number of voters and sinceLeader the time since a leader
// was last known.
// A replica that isn't a member, or has heard no leader for rejoinAfter, proposes to
// add itself. The leader removes a replica whose address a learner now has, promotes
// learners that have caught up until there are enough voters, and replaces a
// silent voter by a learner: it first promotes the learner, then removes the
// silent voter.
func nextChange(status raft.Status, self string, voters int, sinceLeader time.Duration) (change membershipChange, wanted bool) {
	m := status.Membership
	if status.Role != raft.Leader {
		return membershipChange{action: raft.AddLearner, id: self}, !m.Has(self) || sinceLeader > rejoinAfter
	}
	silent, found := longestSilent(status, self)
	if found && len(m.Voters) > voters {
		return membershipChange{action: raft.Remove, id: silent}, true
	}
	for _, learner := range m.Learners {
		if status.Match[learner]+maxLearnerLag < status.LastIndex || status.TicksSinceReply[learner] > replaceAfterTicks {
			continue
		}
		if old, found := predecessor(m, learner); found {
			return membershipChange{action: raft.Remove, id: old}, true
		}
		if len(m.Voters) < voters || (found && len(m.Voters) == voters) {
			return membershipChange{action: raft.Promote, id: learner}, true
		}
	}
	return membershipChange{}, false
}

// rejoinAfter is how long a replica hears no leader before it proposes to add
// itself again, as it may have been removed meanwhile.
const rejoinAfter = 5 * time.Second

// longestSilent returns the voter that has been silent for longest, if that is
// more than replaceAfterTicks.
func longestSilent(status raft.Status, self string) (id string, found bool) {
	most := replaceAfterTicks
	for _, voter := range status.Membership.Voters {
		if voter != self && status.TicksSinceReply[voter] > most {
			id, most = voter, status.TicksSinceReply[voter]
		}
	}
	return id, id != ""
}

// predecessor returns another replica with the address of a learner: the one
// that had the address before.
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
