// Package streamversion remembers at which version of a service's software streams
// have begun. A stream that has broken off may go on only at a target of that version,
// and nothing that its caller sends tells it.
package streamversion

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Version is a version of the software of a service's targets.
type Version struct {
	Service string
	Version string
}

// Key identifies a stream: the hash of the id of the request that began it.
type Key uint64

// KeyOf returns the key of a request id.
func KeyOf(requestID string) Key {
	return Key(xxhash.Sum64String(requestID))
}

const (
	// Retention is how long a stream is remembered at least. It is longer than a stream
	// runs and its caller goes on to ask for the rest.
	Retention = time.Minute
	// maxStreams bounds the streams that begin within Retention and are remembered. The
	// versions of more are unknown.
	maxStreams = 1 << 19
)

// Table holds the versions of streams. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	current  map[Key]Version
	previous map[Key]Version // of the Retention before
	since    time.Time       // of current
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{current: map[Key]Version{}, previous: map[Key]Version{}}
}

// ambiguous is kept for a stream of which two versions were recorded. Its version is
// unknown.
var ambiguous = Version{}

// Record remembers the version at which a stream has begun, from now on for Retention
// at least.
func (t *Table) Record(key Key, v Version, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	if known, found := t.find(key); found && known != v {
		v = ambiguous
	}
	if _, found := t.current[key]; found || len(t.current) < maxStreams {
		t.current[key] = v
	}
}

// Find returns the version at which a stream has begun.
func (t *Table) Find(key Key, now time.Time) (v Version, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	v, found = t.find(key)
	return v, found && v != ambiguous
}

func (t *Table) find(key Key) (v Version, found bool) {
	if v, found = t.current[key]; !found {
		v, found = t.previous[key]
	}
	return v, found
}

// Rows returns all streams that are remembered, by their version.
func (t *Table) Rows(now time.Time) (rows map[Version][]Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	rows = map[Version][]Key{}
	for key, v := range t.previous {
		if _, newer := t.current[key]; !newer {
			rows[v] = append(rows[v], key)
		}
	}
	for key, v := range t.current {
		rows[v] = append(rows[v], key)
	}
	delete(rows, ambiguous)
	return rows
}

// Len returns the number of streams that are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.current) + len(t.previous)
}

func (t *Table) rotate(now time.Time) {
	age := now.Sub(t.since)
	if age < Retention {
		return
	}
	t.previous, t.current, t.since = t.current, map[Key]Version{}, now
	if age >= 2*Retention {
		t.previous = map[Key]Version{}
	}
}
