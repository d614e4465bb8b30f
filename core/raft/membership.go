package raft

import (
	"errors"
	"fmt"
	"slices"
)

// MembershipAction is the type of a membership change.
type MembershipAction string

// Actions on the membership.
const (
	AddLearner MembershipAction = "add"
	Promote    MembershipAction = "promote"
	Remove     MembershipAction = "remove"
)

// ErrChangePending reports that an earlier membership change, or the first entry
// of the leader's term, is not committed yet. The change may be tried again.
var ErrChangePending = errors.New("an earlier change of the replicas is not committed yet; try again")

// maxPromotionLag is how many entries a learner may be behind when it is
// promoted.
const maxPromotionLag = 16

// promotionElections is how long, in election timeouts, a learner may have been silent when
// it is promoted.
const promotionElections = 2

// ChangeMembership appends a change of one replica to the leader's log and
// returns the index and term of its entry. The change holds from then on, but is
// final only once the entry is committed. The error is ErrNotLeader,
// ErrTransferInProgress, ErrChangePending, or says why the change is not allowed.
func (n *Node) ChangeMembership(action MembershipAction, id string) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferee != "" {
		return 0, 0, ErrTransferInProgress
	}
	if n.changePending() || !n.committedInTerm() {
		return 0, 0, ErrChangePending
	}
	next, err := n.nextMembership(action, id)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendEntry(Entry{Kind: EntryMembership, Membership: &next})
	return index, n.term, nil
}

// nextMembership returns the membership in force after an action.
func (n *Node) nextMembership(action MembershipAction, id string) (next Membership, err error) {
	next = Membership{
		Voters:   slices.Clone(n.Membership().Voters),
		Learners: slices.Clone(n.Membership().Learners),
	}
	switch action {
	case AddLearner:
		if next.Has(id) {
			return next, fmt.Errorf("replica %q is a member already", id)
		}
		next.Learners = append(next.Learners, id)
	case Promote:
		if !slices.Contains(next.Learners, id) {
			return next, fmt.Errorf("replica %q is not a learner", id)
		}
		if p := n.progress[id]; p.match+maxPromotionLag < n.log.lastIndex() {
			return next, fmt.Errorf("replica %q lacks %d entries and can't count yet; try again when it has caught up", id, n.log.lastIndex()-p.match)
		}
		if !n.mayCount(id) {
			return next, fmt.Errorf("replica %q doesn't answer and can't count yet; try again when it does", id)
		}
		next.Learners = without(next.Learners, id)
		next.Voters = append(next.Voters, id)
	case Remove:
		if !next.Has(id) {
			return next, fmt.Errorf("replica %q is not a member", id)
		}
		if id == n.config.ID {
			return next, fmt.Errorf("replica %q is the leader; stop it or hand over before it is removed", id)
		}
		next.Voters = without(next.Voters, id)
		next.Learners = without(next.Learners, id)
	default:
		return next, fmt.Errorf("action %q must be %q, %q or %q", action, AddLearner, Promote, Remove)
	}
	return next, nil
}

// mayCount reports whether a replica has answered this leader lately and lacks few
// entries.
func (n *Node) mayCount(id string) bool {
	p := n.progress[id]
	return p.match > 0 && p.match+maxPromotionLag >= n.log.lastIndex() && p.ticksSinceReply <= promotionElections*n.config.ElectionTicks
}

func without(ids []string, id string) []string {
	return slices.DeleteFunc(ids, func(other string) bool { return other == id })
}

// changePending reports whether the newest membership isn't known to be committed.
func (n *Node) changePending() bool {
	return n.memberships[len(n.memberships)-1].index > n.commit
}

// committedInTerm reports whether the leader has committed an entry of its own
// term. Before that, neither a membership change nor a read is safe.
func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.commit)
	return term == n.term
}

// addMemberships puts memberships in force. A membership holds as soon as it is
// in the log, committed or not.
func (n *Node) addMemberships(entries []Entry) {
	changed := false
	for _, entry := range entries {
		if entry.Kind == EntryMembership {
			n.memberships = append(n.memberships, membershipAt{index: entry.Index, membership: *entry.Membership})
			changed = true
		}
	}
	if changed && n.role == Leader {
		n.syncProgress()
	}
}

func (n *Node) truncateMembershipsAfter(index uint64) {
	for n.memberships[len(n.memberships)-1].index > index {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// membershipAt returns the membership that was in force at an index.
func (n *Node) membershipAt(index uint64) Membership {
	found := n.memberships[0].membership
	for _, at := range n.memberships {
		if at.index <= index {
			found = at.membership
		}
	}
	return found
}

func (n *Node) compactMembershipsTo(index uint64) {
	kept := []membershipAt{{index: index, membership: n.membershipAt(index)}}
	for _, at := range n.memberships {
		if at.index > index {
			kept = append(kept, at)
		}
	}
	n.memberships = kept
}

// syncProgress adds and removes progress records so that each member has one.
func (n *Node) syncProgress() {
	members := n.Membership().members()
	for _, id := range members {
		if n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.lastIndex() + 1, probing: true, active: true, ticksSinceReply: n.config.ElectionTicks}
		}
	}
	n.progress[n.config.ID].match = n.log.stable
	for id := range n.progress {
		if !slices.Contains(members, id) {
			delete(n.progress, id)
		}
	}
}
