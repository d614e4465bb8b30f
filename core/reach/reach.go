// Package reach decides from the results of new connections whether a VM has lost its
// links to the targets of its region. A target that can't be reached may have crashed;
// when several can't be, and none can, the VM's own links are the likelier cause.
package reach

import (
	"maps"
	"sync"
	"time"
)

const (
	// lostTargets is the number of different targets that can't be reached, with no
	// other that can, from which on the links count as lost. Fewer are enough if no
	// more are known.
	lostTargets = 3
	// failureExpiry is how long a failed connection counts.
	failureExpiry = 2 * time.Second
)

// Tracker tracks the links of one VM. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	failed  map[string]time.Time // target to the last failed connection, since the last success
	reached map[string]time.Time // target to the last successful connection
	lost    bool
}

// NewTracker returns a tracker of links that count as whole.
func NewTracker() *Tracker {
	return &Tracker{failed: map[string]time.Time{}, reached: map[string]time.Time{}}
}

// Dialed records the result of a new connection to one of known targets. It reports
// whether the links are lost now or whole again.
func (t *Tracker) Dialed(target string, reached bool, known int, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.lost
	if reached {
		clear(t.failed)
		t.reached[target] = now
		t.lost = false
		return before
	}
	t.failed[target] = now
	expired := func(_ string, at time.Time) bool { return now.Sub(at) > failureExpiry }
	maps.DeleteFunc(t.failed, expired)
	maps.DeleteFunc(t.reached, expired)
	t.lost = t.lost || len(t.failed) >= max(1, min(lostTargets, known))
	return t.lost != before
}

// Lost reports whether the links are lost.
func (t *Tracker) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Reached reports whether another target than this one was reached within a time.
func (t *Tracker) Reached(except string, within time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, at := range t.reached {
		if target != except && now.Sub(at) <= within {
			return true
		}
	}
	return false
}
