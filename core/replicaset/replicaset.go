// Package replicaset decides which changes the set of replicas of the control log
// needs, one at a time: which replica joins, which learner becomes a voter, and which
// voter leaves. It does no input or output; all times are given.
package replicaset

import (
	"slices"
	"strings"
	"time"

	"kingcuprill/core/raft"
)

// Change is one change of the set.
type Change struct {
	Action raft.MembershipAction
	ID     string
}

// idSeparator separates, in the id of a replica that joined later, its address from a
// suffix that is unique among the replicas that had the address.
const idSeparator = "#"

const (
	// maxLearnerLag is how many log entries a learner may lack to be promoted to
	// voter.
	maxLearnerLag = 8
	// maxLearnerSilence is how long a learner that is promoted may be silent, in ticks.
	maxLearnerSilence = 20
	// replaceAfterTicks is how long a voter may be silent before a learner replaces it,
	// in ticks of the control log: 1.5 s.
	replaceAfterTicks = 33
	// forgetAfterTicks is how long a learner may be silent before it is removed, in ticks
	// of the control log: 30 s. One that comes back asks to be added again.
	forgetAfterTicks = 660
	// learnerWait is how long a voter that stops waits for a learner.
	learnerWait = 3 * time.Second
	// rejoinAfter is how long a replica hears no leader before it proposes to add
	// itself again, as it may have been removed meanwhile.
	rejoinAfter = time.Second
)

// JoinedID returns the id of a replica that joins later at an address.
func JoinedID(address, suffix string) string {
	return address + idSeparator + suffix
}

// AddressOf returns the address in the id of a replica.
func AddressOf(id string) (address string, known bool) {
	address, _, _ = strings.Cut(id, idSeparator)
	return address, address != ""
}

// Next returns the next change that a replica should propose, where voters is the
// intended number of voters and sinceLeader the time since a leader was last known.
// A replica that isn't a member, or has heard no leader for rejoinAfter, proposes to
// add itself. The leader removes a replica whose address a learner now has, promotes
// learners that have caught up until there are enough voters, and replaces a
// silent voter by a learner: it first promotes the learner, then removes the
// silent voter. It removes learners that are gone, as members are asked and polled by others.
func Next(status raft.Status, self string, voters int, sinceLeader time.Duration) (change Change, wanted bool) {
	m := status.Membership
	if status.Role != raft.Leader {
		return Change{Action: raft.AddLearner, ID: self}, !m.Has(self) || sinceLeader > rejoinAfter
	}
	silent, found := longestSilent(status, self)
	if found && len(m.Voters) > voters {
		return Change{Action: raft.Remove, ID: silent}, true
	}
	for _, learner := range m.Learners {
		if status.Match[learner]+maxLearnerLag < status.LastIndex || status.TicksSinceReply[learner] > maxLearnerSilence {
			continue
		}
		if old, found := predecessor(m, learner); found {
			return Change{Action: raft.Remove, ID: old}, true
		}
		if len(m.Voters) < voters || (found && len(m.Voters) == voters) {
			return Change{Action: raft.Promote, ID: learner}, true
		}
	}
	gone := slices.IndexFunc(m.Learners, func(learner string) bool { return status.TicksSinceReply[learner] > forgetAfterTicks })
	if gone < 0 {
		return Change{}, false
	}
	return Change{Action: raft.Remove, ID: m.Learners[gone]}, true
}

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
	address, _ := AddressOf(learner)
	for _, other := range append(slices.Clone(m.Voters), m.Learners...) {
		at, _ := AddressOf(other)
		if other != learner && at == address {
			return other, true
		}
	}
	return "", false
}

// Leave returns the next step of a replica that announced its end some time ago. A voter has a
// learner promoted and then itself removed, in this order, so that there are never fewer
// voters than intended; it can't be removed before it has handed over the leadership. A
// learner has itself removed. attempt counts the steps, so that another learner is asked
// for when one was refused. A voter waits for a learner to replace it, as a successor may be late
// to join, and stays a voter without one. The change is empty while there is nothing to do but
// wait.
func Leave(status raft.Status, self string, voters, attempt int, announced time.Duration) (change Change, wanted bool) {
	m := status.Membership
	if status.ChangePending {
		return Change{}, true
	}
	if !m.Has(self) {
		return Change{}, false
	}
	if !m.IsVoter(self) || len(m.Voters) > voters {
		return Change{Action: raft.Remove, ID: self}, true
	}
	successors := slices.DeleteFunc(slices.Clone(m.Learners), func(id string) bool {
		_, found := predecessor(m, id)
		return found
	})
	if len(successors) == 0 {
		return Change{}, announced < learnerWait
	}
	return Change{Action: raft.Promote, ID: successors[attempt%len(successors)]}, true
}

// Allowed reports whether a leader may make a change that was asked for. It keeps a voter
// that answers when there are no more voters than intended: two voters that stop at once
// may both have seen one to spare.
func Allowed(status raft.Status, change Change, voters int) bool {
	m := status.Membership
	if change.Action != raft.Remove || !m.IsVoter(change.ID) || len(m.Voters) > voters {
		return true
	}
	replaced := slices.ContainsFunc(m.Learners, func(learner string) bool {
		old, _ := predecessor(m, learner)
		return old == change.ID
	})
	return replaced || status.TicksSinceReply[change.ID] > maxLearnerSilence
}
