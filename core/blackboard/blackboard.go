// Package blackboard shares immutable snapshots between controllers and the
// request path. Each section has one writer at a time and any number of
// readers, which take no lock.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Section is one part of the blackboard. Values are immutable once published.
type Section[T any] struct {
	current atomic.Pointer[T]
	writer  sync.Mutex
	watch   atomic.Pointer[chan struct{}]
}

// NewSection returns a section that holds an initial value.
func NewSection[T any](initial *T) *Section[T] {
	s := &Section[T]{}
	s.current.Store(initial)
	ch := make(chan struct{})
	s.watch.Store(&ch)
	return s
}

// Read returns the current snapshot.
func (s *Section[T]) Read() *T {
	return s.current.Load()
}

// Update replaces the snapshot with what change makes of it. A change that
// returns nil leaves the section as it is. It returns the snapshot in force.
func (s *Section[T]) Update(change func(*T) *T) *T {
	s.writer.Lock()
	defer s.writer.Unlock()
	next := change(s.current.Load())
	if next == nil {
		return s.current.Load()
	}
	s.current.Store(next)
	ch := make(chan struct{})
	close(*s.watch.Swap(&ch))
	return next
}

// Changed returns a channel that closes at the next update.
func (s *Section[T]) Changed() <-chan struct{} {
	return *s.watch.Load()
}
