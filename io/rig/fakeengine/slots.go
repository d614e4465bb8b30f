package fakeengine

import (
	"context"
	"slices"
	"time"
)

// tokenTime returns the interval between tokens. It grows with the number of
// running requests, up to twice PerToken for a full batch.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Options.PerToken + e.Options.PerToken*time.Duration(e.running)/time.Duration(max(1, e.Options.Capacity))
}

// acquireSlot waits for a slot of the batch, higher priorities first and in
// order of arrival within one. It reports false if the context ends first.
func (e *Engine) acquireSlot(ctx context.Context, priority int) bool {
	e.mu.Lock()
	if e.running < e.Options.Capacity {
		e.running++
		e.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority < priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, w)
	e.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-w.admitted:
		e.handOverSlot()
	default:
		e.waiting = slices.DeleteFunc(e.waiting, func(other *waiter) bool { return other == w })
	}
	return false
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handOverSlot()
}

// handOverSlot hands a slot to the first waiting request, or frees it.
func (e *Engine) handOverSlot() {
	if len(e.waiting) == 0 {
		e.running = max(0, e.running-1)
		return
	}
	close(e.waiting[0].admitted)
	e.waiting = e.waiting[1:]
}
