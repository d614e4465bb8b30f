// Package inflight tracks the running requests of a VM, so that the withdrawal of
// a key can cancel its requests and a planned stop can wait for all to end.
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

// Register holds the running requests. It is safe for concurrent use.
type Register struct {
	requests sync.Map // *running to struct{}
	count    atomic.Int64
}

// Enter registers a request and returns a context that End cancels. leave must be
// called when the request has ended.
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

// EndAll cancels all requests, with cause.
func (r *Register) EndAll(cause error) {
	r.requests.Range(func(key, _ any) bool {
		key.(*running).cancel(cause)
		return true
	})
}

// End cancels the requests whose key is withdrawn, with cause. Requests without a
// key go on.
func (r *Register) End(withdrawn func(keyID string) bool, cause error) {
	r.requests.Range(func(key, _ any) bool {
		entry := key.(*running)
		if entry.keyID != "" && withdrawn(entry.keyID) {
			entry.cancel(cause)
		}
		return true
	})
}
