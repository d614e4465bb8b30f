// Package inflight registers the running requests of a VM, so that the
// withdrawal of a key ends them and a planned stop waits for them.
package inflight

import (
	"context"
	"sync"
	"sync/atomic"
)

type running struct {
	keyID  string
	cancel context.CancelCauseFunc
}

// Register holds the running requests.
type Register struct {
	requests sync.Map // *running to struct{}
	count    atomic.Int64
}

// Enter registers a request. Leave must be called at its end.
func (r *Register) Enter(parent context.Context, keyID string) (ctx context.Context, leave func()) {
	ctx, cancel := context.WithCancelCause(parent)
	entry := &running{keyID: keyID, cancel: cancel}
	r.requests.Store(entry, struct{}{})
	r.count.Add(1)
	return ctx, func() {
		r.requests.Delete(entry)
		r.count.Add(-1)
		cancel(nil)
	}
}

// Count returns the number of running requests.
func (r *Register) Count() int64 {
	return r.count.Load()
}

// End cancels the requests whose key is dead.
func (r *Register) End(dead func(keyID string) bool, cause error) {
	r.requests.Range(func(key, _ any) bool {
		entry := key.(*running)
		if entry.keyID != "" && dead(entry.keyID) {
			entry.cancel(cause)
		}
		return true
	})
}
