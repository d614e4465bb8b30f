// Package versioned keeps rows with the version of their last change, so that
// readers elsewhere can ask for what is new to them.
package versioned

import "sync"

// Row is a value and the version at which it was last changed.
type Row[V any] struct {
	Value   V
	Version uint64
}

// Table is a map whose rows carry versions. It is safe for concurrent use.
type Table[V any] struct {
	mu      sync.Mutex
	rows    map[string]Row[V]
	version uint64
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable[V any]() *Table[V] {
	return &Table[V]{rows: map[string]Row[V]{}, changed: make(chan struct{})}
}

// Put replaces a row. A loud change gets a new version and wakes those that
// wait; a quiet one is only kept here.
func (t *Table[V]) Put(id string, value V, loud bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[id]
	row.Value = value
	if loud {
		t.version++
		row.Version = t.version
		close(t.changed)
		t.changed = make(chan struct{})
	}
	t.rows[id] = row
}

// Delete drops a row without a trace.
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

// Since returns the values changed after a version, and the newest version.
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

// Version returns the newest version and a channel that closes at the next
// one.
func (t *Table[V]) Version() (version uint64, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.changed
}
