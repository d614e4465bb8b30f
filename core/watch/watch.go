// Package watch publishes immutable snapshots of a value to concurrent
// readers. Reads take no lock and always see the whole of the latest snapshot,
// writers are serialised, and readers can wait for the next update.
package watch

import (
	"sync"
	"sync/atomic"
)

// Value holds the current snapshot of a T. Snapshots must not be changed once
// published.
type Value[T any] struct {
	current atomic.Pointer[T]
	writer  sync.Mutex
	updated atomic.Pointer[chan struct{}]
}

// NewValue returns a value with an initial snapshot.
func NewValue[T any](initial *T) *Value[T] {
	v := &Value[T]{}
	v.current.Store(initial)
	ch := make(chan struct{})
	v.updated.Store(&ch)
	return v
}

// Read returns the current snapshot.
func (v *Value[T]) Read() *T {
	return v.current.Load()
}

// Update replaces the current snapshot with the one that change returns, unless
// that is nil, and returns the snapshot that is current afterwards. change runs
// under the writers' lock and must not call Update of the same value.
func (v *Value[T]) Update(change func(*T) *T) *T {
	v.writer.Lock()
	defer v.writer.Unlock()
	next := change(v.current.Load())
	if next == nil {
		return v.current.Load()
	}
	v.current.Store(next)
	ch := make(chan struct{})
	close(*v.updated.Swap(&ch))
	return next
}

// Changed returns a channel that is closed by the next update. To miss none, it
// must be called before Read.
func (v *Value[T]) Changed() <-chan struct{} {
	return *v.updated.Load()
}
