// Package membership keeps what a VM knows of the others: who is alive, who is
// suspected, who leaves. Updates spread by gossip. A VM answers a suspicion
// about itself with a higher incarnation number.
package membership

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"kingcuprill/core/blackboard"
)

// State is what is believed of a member.
type State uint8

// States of a member. Of two updates with equal incarnation, the higher state
// counts.
const (
	Alive State = iota
	Suspect
	Leaving // stops as planned; takes no new requests
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
	Revision      uint64 // of the catalogue that the VM has in force
	Control       bool   // holds a replica of the control log
}

// View is an immutable picture of all members.
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
	suspicionTimeout = 3 * time.Second // from suspicion to dead
	forgetDeadAfter  = 30 * time.Minute
	// extraSends is how often an update is sent beyond log2 of the members.
	extraSends = 3
	// revisionSends is how often an update is sent that brings a newer revision
	// only. Each VM's own row is in all its messages anyway.
	revisionSends = 1
)

type spread struct {
	id    string
	sent  int
	limit int
}

// Table holds the members. Changes come from one goroutine at a time; readers
// use the view on the blackboard.
type Table struct {
	Self    string
	View    *blackboard.Section[View]
	queue   []spread
	changed map[string]time.Time // when a member's state last changed
}

// NewTable returns a table that knows only this VM.
func NewTable(self Member) *Table {
	view := newView(map[string]Member{self.ID: self})
	t := &Table{Self: self.ID, View: blackboard.NewSection(view), changed: map[string]time.Time{}}
	t.enqueue(self.ID, false)
	return t
}

// Merge takes in updates of other VMs.
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

// supersedes tells whether an update is newer than what is known.
func supersedes(update, old Member) bool {
	if update.Incarnation != old.Incarnation {
		return update.Incarnation > old.Incarnation
	}
	return update.State > old.State || (update.State == old.State && update.Revision > old.Revision)
}

// refute answers an update about this VM that is wrong or as new as its own.
func (t *Table) refute(update Member) {
	self := t.View.Read().Members[t.Self]
	wrong := update.Incarnation == self.Incarnation && update.State > self.State
	if update.Incarnation > self.Incarnation || wrong {
		self.Incarnation = update.Incarnation + 1
		t.put(self)
	}
}

// Update changes this VM's own row and spreads it.
func (t *Table) Update(change func(*Member)) {
	self := t.View.Read().Members[t.Self]
	before := self
	change(&self)
	if self != before {
		t.put(self)
	}
}

// Suspect notes that a VM did not answer.
func (t *Table) Suspect(id string) {
	m, known := t.View.Read().Members[id]
	if known && m.State == Alive {
		m.State = Suspect
		t.put(m)
	}
}

// Heard notes that a VM answered this one. Only the VM itself can clear a
// suspicion for others, with a higher incarnation; here it is cleared at once.
func (t *Table) Heard(m Member) {
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

// Expire declares suspects dead and forgets the dead, after their time.
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
	t.queue = slices.DeleteFunc(t.queue, func(s spread) bool { return s.id == id })
	t.queue = append([]spread{{id: id, limit: limit}}, t.queue...)
}

// Updates returns the rows to send next, the least sent first.
func (t *Table) Updates(most int) []Member {
	members := t.View.Read().Members
	slices.SortStableFunc(t.queue, func(a, b spread) int { return a.sent - b.sent })
	rows := []Member{}
	kept := t.queue[:0]
	for _, s := range t.queue {
		m, known := members[s.id]
		if !known {
			continue
		}
		if len(rows) < most {
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

// All returns every row, for a VM that joins.
func (t *Table) All() []Member {
	members := t.View.Read().Members
	rows := make([]Member, 0, len(members))
	for _, id := range slices.Sorted(maps.Keys(members)) {
		rows = append(rows, members[id])
	}
	return rows
}

// PickPeers returns random peers for one gossip round: one of the same data
// centre, one of any, and now and then one that is believed dead, so that
// both sides of a healed partition find each other again.
func (t *Table) PickPeers(random *rand.Rand, tryDead bool) []Member {
	var near, all, dead []Member
	self := t.View.Read().Members[t.Self]
	for _, m := range t.All() {
		switch {
		case m.ID == t.Self:
		case m.State == Dead:
			dead = append(dead, m)
		default:
			all = append(all, m)
			if m.DataCentre == self.DataCentre {
				near = append(near, m)
			}
		}
	}
	picked := pickOne(random, nil, near)
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
