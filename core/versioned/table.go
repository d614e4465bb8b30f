// Package versioned provides a table whose rows carry the version of their last
// published change, so that remote readers can fetch only the rows that changed
// since the version they have. Versions start at 1 and are local to a table.
package versioned

import (
	"cmp"
	"slices"
	"sync"
)

// Row is a value and the version of its last published change, 0 if none.
type Row[V any] struct {
	Value   V
	Version uint64
}

// Table maps ids to versioned rows. It is safe for concurrent use.
type Table[V any] struct {
	// Group, if set, returns the group of a value. Readers may wait for the changes
	// of one group. It must be set before the first use.
	Group func(V) string

	mu      sync.Mutex
	rows    map[string]Row[V]
	version uint64
	changed chan struct{}
	groups  map[string]*group
}

// group holds the version of the last published change of a group's rows.
type group struct {
	version uint64
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable[V any]() *Table[V] {
	return &Table[V]{rows: map[string]Row[V]{}, changed: make(chan struct{}), groups: map[string]*group{}}
}

// Put sets a row's value. With publish set, the row gets a new version and readers
// that wait on Version are woken. Otherwise the row keeps its version, so Since
// doesn't report the change.
func (t *Table[V]) Put(id string, value V, publish bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.rows[id]
	before := row.Value
	row.Value = value
	if publish {
		t.version++
		row.Version = t.version
		close(t.changed)
		t.changed = make(chan struct{})
		if t.Group != nil {
			t.publishGroup(t.Group(value))
		}
		if t.Group != nil && found && t.Group(before) != t.Group(value) {
			t.publishGroup(t.Group(before))
		}
	}
	t.rows[id] = row
}

func (t *Table[V]) group(name string) *group {
	g, found := t.groups[name]
	if !found {
		g = &group{changed: make(chan struct{})}
		t.groups[name] = g
	}
	return g
}

func (t *Table[V]) publishGroup(name string) {
	g := t.group(name)
	g.version = t.version
	close(g.changed)
	g.changed = make(chan struct{})
}

// GroupVersion returns the version of the last published change in a group, and a
// channel that is closed at the next one.
func (t *Table[V]) GroupVersion(name string) (version uint64, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(name)
	return g.version, g.changed
}

// Delete removes a row. Readers of Since are not told.
func (t *Table[V]) Delete(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, id)
}

// Get returns a row's value.
func (t *Table[V]) Get(id string) (value V, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.rows[id]
	return row.Value, found
}

// Rows returns a copy of all rows' values by id.
func (t *Table[V]) Rows() map[string]V {
	t.mu.Lock()
	defer t.mu.Unlock()
	values := make(map[string]V, len(t.rows))
	for id, row := range t.rows {
		values[id] = row.Value
	}
	return values
}

// Since returns the values whose last published change is after a version, in no
// particular order, and the newest version.
func (t *Table[V]) Since(version uint64) (values []V, newest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range t.rows {
		if row.Version > version {
			values = append(values, row.Value)
		}
	}
	return values, t.version
}

// Next returns at most limit values whose last published change is after a version, the
// earliest changes first, and the version from which on the others follow.
func (t *Table[V]) Next(version uint64, limit int) (values []V, reached uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []Row[V]
	for _, row := range t.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	reached = t.version
	if len(rows) > limit {
		slices.SortFunc(rows, func(a, b Row[V]) int { return cmp.Compare(a.Version, b.Version) })
		rows = rows[:limit]
		reached = rows[limit-1].Version
	}
	for _, row := range rows {
		values = append(values, row.Value)
	}
	return values, reached
}

// Version returns the newest version and a channel that is closed at the next
// published change.
func (t *Table[V]) Version() (version uint64, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.changed
}
