// Package membership is a VM's table of all VMs and their states, kept in the
// manner of SWIM: updates are spread by gossip, a VM that doesn't answer becomes
// suspect and later dead, and a VM refutes a wrong suspicion about itself with a
// higher incarnation number. The tables are eventually consistent: they may
// differ between VMs at any time. The package does no I/O; the caller sends and
// receives the updates.
package membership

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"kingcuprill/core/watch"
)

// State is the believed state of a member.
type State uint8

// States of a member. Of two updates with the same incarnation, the one with the
// higher state wins.
const (
	Alive State = iota
	Suspect
	Leaving // shutting down as planned; accepts no new requests
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// Member is one VM as others see it.
type Member struct {
	ID            string
	Region        string
	DataCentre    string
	PeerAddress   string
	CallerAddress string
	Incarnation   uint64
	State         State
	Revision      uint64 // of the catalogue that the VM uses
	Control       bool   // holds a replica of the control log
}

// View is an immutable snapshot of all members.
type View struct {
	Members map[string]Member

	usable       []Member
	byDataCentre map[string][]Member
}

func newView(members map[string]Member) *View {
	v := &View{Members: members, byDataCentre: map[string][]Member{}}
	for _, id := range slices.Sorted(maps.Keys(members)) {
		if m := members[id]; m.State == Alive {
			v.usable = append(v.usable, m)
			v.byDataCentre[m.DataCentre] = append(v.byDataCentre[m.DataCentre], m)
		}
	}
	return v
}

// Usable returns the members that may be sent requests, in order of their ids.
func (v *View) Usable() []Member {
	return slices.Clone(v.usable)
}

// UsableIn returns the usable members of a data centre. The slice is shared and
// must not be changed.
func (v *View) UsableIn(dataCentre string) []Member {
	return v.byDataCentre[dataCentre]
}

const (
	suspicionTimeout = 3 * time.Second // from suspect to dead
	forgetDeadAfter  = 30 * time.Minute
	// extraSends is added to log2 of the number of members for the number of
	// times that an update is sent.
	extraSends = 3
	// revisionSends is the number of times that an update is sent if only its
	// revision is new. Every message holds the sender's own row anyway.
	revisionSends = 1
)

type queuedUpdate struct {
	id    string
	sent  int
	limit int
}

// Table holds the members. Its methods must be called by one goroutine at a
// time; View may be read by any.
type Table struct {
	Self    string // id of this VM
	View    *watch.Value[View]
	queue   []queuedUpdate
	changed map[string]time.Time // when a member's state last changed
}

// NewTable returns a table that knows only this VM.
func NewTable(self Member) *Table {
	view := newView(map[string]Member{self.ID: self})
	t := &Table{Self: self.ID, View: watch.NewValue(view), changed: map[string]time.Time{}}
	t.enqueue(self.ID, false)
	return t
}

// Merge applies updates received from other VMs and queues the newer ones to be
// sent on. It refutes wrong updates about this VM.
func (t *Table) Merge(updates []Member) {
	newer := []Member{}
	for _, update := range updates {
		if update.ID == t.Self {
			t.refute(update)
			continue
		}
		old, known := t.View.Read().Members[update.ID]
		if known && !supersedes(update, old) {
			continue
		}
		if known && update.Incarnation == old.Incarnation {
			update.Revision = max(update.Revision, old.Revision)
		}
		newer = append(newer, update)
	}
	t.put(newer...)
}

// supersedes reports whether an update is newer than the known row.
func supersedes(update, old Member) bool {
	if update.Incarnation != old.Incarnation {
		return update.Incarnation > old.Incarnation
	}
	return update.State > old.State || (update.State == old.State && update.Revision > old.Revision)
}

// refute raises this VM's incarnation above that of an update about itself, if
// the update has a higher incarnation, or the same one and a higher state.
func (t *Table) refute(update Member) {
	self := t.View.Read().Members[t.Self]
	wrong := update.Incarnation == self.Incarnation && update.State > self.State
	if update.Incarnation > self.Incarnation || wrong {
		self.Incarnation = update.Incarnation + 1
		t.put(self)
	}
}

// Update changes this VM's own row and queues it to be sent.
func (t *Table) Update(change func(*Member)) {
	self := t.View.Read().Members[t.Self]
	before := self
	change(&self)
	if self != before {
		t.put(self)
	}
}

// Suspect marks a VM that did not answer as suspect, if it was alive.
func (t *Table) Suspect(id string) {
	m, known := t.View.Read().Members[id]
	if known && m.State == Alive {
		m.State = Suspect
		t.put(m)
	}
}

// MergeDirect applies the row of a VM that was received from that VM directly. It
// clears the state Suspect or Dead in this table at once; in the tables of others
// only the VM itself can clear it, with a higher incarnation.
func (t *Table) MergeDirect(m Member) {
	old, known := t.View.Read().Members[m.ID]
	if !known || old.Incarnation < m.Incarnation {
		t.Merge([]Member{m})
		return
	}
	if old.Incarnation == m.Incarnation && (old.State == Suspect || old.State == Dead) {
		if m.State != Leaving {
			m.State = Alive
		}
		m.Revision = max(m.Revision, old.Revision)
		t.put(m)
		return
	}
	t.Merge([]Member{m})
}

// Expire marks members dead that have been suspect for suspicionTimeout, and
// removes those that have been dead for forgetDeadAfter.
func (t *Table) Expire(now time.Time) {
	for id, m := range t.View.Read().Members {
		if id == t.Self {
			continue
		}
		age := now.Sub(t.changed[id])
		switch {
		case m.State == Suspect && age > suspicionTimeout:
			m.State = Dead
			t.put(m)
		case m.State == Dead && age > forgetDeadAfter:
			t.forget(id)
		}
	}
}

func (t *Table) put(rows ...Member) {
	if len(rows) == 0 {
		return
	}
	for _, m := range rows {
		old, known := t.View.Read().Members[m.ID]
		if !known || old.State != m.State {
			t.changed[m.ID] = time.Now()
		}
		old.Revision = m.Revision
		t.enqueue(m.ID, known && old == m)
	}
	t.View.Update(func(v *View) *View {
		members := maps.Clone(v.Members)
		for _, m := range rows {
			members[m.ID] = m
		}
		return newView(members)
	})
}

func (t *Table) forget(id string) {
	t.View.Update(func(v *View) *View {
		members := maps.Clone(v.Members)
		delete(members, id)
		return newView(members)
	})
	delete(t.changed, id)
}

func (t *Table) enqueue(id string, revisionOnly bool) {
	limit := bits.Len(uint(len(t.View.Read().Members))) + extraSends
	if revisionOnly {
		limit = revisionSends
	}
	for _, s := range t.queue {
		if s.id == id {
			limit = max(limit, s.limit-s.sent)
		}
	}
	t.queue = slices.DeleteFunc(t.queue, func(s queuedUpdate) bool { return s.id == id })
	t.queue = append([]queuedUpdate{{id: id, limit: limit}}, t.queue...)
}

// Updates returns the queued rows to send next, the least sent first, and counts
// them as sent.
func (t *Table) Updates(maxRows int) []Member {
	members := t.View.Read().Members
	slices.SortStableFunc(t.queue, func(a, b queuedUpdate) int { return a.sent - b.sent })
	rows := []Member{}
	kept := t.queue[:0]
	for _, s := range t.queue {
		m, known := members[s.id]
		if !known {
			continue
		}
		if len(rows) < maxRows {
			rows = append(rows, m)
			s.sent++
		}
		if s.sent < s.limit {
			kept = append(kept, s)
		}
	}
	t.queue = kept
	return rows
}

// Address returns the peer address of a VM.
func (t *Table) Address(id string) (address string, known bool) {
	m, known := t.View.Read().Members[id]
	return m.PeerAddress, known
}

// All returns every row in order of the ids, for a VM that joins.
func (t *Table) All() []Member {
	members := t.View.Read().Members
	rows := make([]Member, 0, len(members))
	for _, id := range slices.Sorted(maps.Keys(members)) {
		rows = append(rows, members[id])
	}
	return rows
}

// PickPeers returns random peers for one gossip round: one of the same data
// centre, one of any and, with tryDead, one that is believed dead, so that both
// sides find each other again after a network partition.
func (t *Table) PickPeers(random *rand.Rand, tryDead bool) []Member {
	var sameDataCentre, all, dead []Member
	self := t.View.Read().Members[t.Self]
	for _, m := range t.All() {
		switch {
		case m.ID == t.Self:
		case m.State == Dead:
			dead = append(dead, m)
		default:
			all = append(all, m)
			if m.DataCentre == self.DataCentre {
				sameDataCentre = append(sameDataCentre, m)
			}
		}
	}
	picked := pickOne(random, nil, sameDataCentre)
	picked = pickOne(random, picked, all)
	if tryDead {
		picked = pickOne(random, picked, dead)
	}
	return picked
}

func pickOne(random *rand.Rand, picked, from []Member) []Member {
	if len(from) == 0 {
		return picked
	}
	m := from[random.IntN(len(from))]
	if slices.ContainsFunc(picked, func(p Member) bool { return p.ID == m.ID }) {
		return picked
	}
	return append(picked, m)
}
