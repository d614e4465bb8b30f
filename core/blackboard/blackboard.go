// Package blackboard publishes immutable snapshots of a value to concurrent
// readers. Reads take no lock and always see the whole of the latest snapshot,
// writers are serialised, and readers can wait for the next update.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section holds the current snapshot of one value. Snapshots must not be changed
// once published.
type Section[T any] struct {
	current atomic.Pointer[T]
	writer  sync.Mutex
	updated atomic.Pointer[chan struct{}]
}

// NewSection returns a section with an initial snapshot.
func NewSection[T any](initial *T) *Section[T] {
	s := &Section[T]{}
	s.current.Store(initial)
	ch := make(chan struct{})
	s.updated.Store(&ch)
	return s
}

// Read returns the current snapshot.
func (s *Section[T]) Read() *T {
	return s.current.Load()
}

// Update replaces the current snapshot with the one that change returns, unless
// that is nil, and returns the snapshot that is current afterwards. change runs
// under the writers' lock and must not call Update of the same section.
func (s *Section[T]) Update(change func(*T) *T) *T {
	s.writer.Lock()
	defer s.writer.Unlock()
	next := change(s.current.Load())
	if next == nil {
		return s.current.Load()
	}
	s.current.Store(next)
	ch := make(chan struct{})
	close(*s.updated.Swap(&ch))
	return next
}

// Changed returns a channel that is closed by the next update. To miss none, it
// must be called before Read.
func (s *Section[T]) Changed() <-chan struct{} {
	return *s.updated.Load()
}
