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

// Change is what a new connection has shown of the links.
type Change uint8

// Changes.
const (
	None  Change = iota
	Lost         // the links are lost, if Confirm is called
	Whole        // the links are whole again
)

// Dialed records the result of a new connection to one of known targets.
func (t *Tracker) Dialed(target string, reached bool, known int, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reached {
		clear(t.failed)
		t.reached[target] = now
		if !t.lost {
			return None
		}
		t.lost = false
		return Whole
	}
	t.failed[target] = now
	expired := func(_ string, at time.Time) bool { return now.Sub(at) > failureExpiry }
	maps.DeleteFunc(t.failed, expired)
	maps.DeleteFunc(t.reached, expired)
	if t.lost || len(t.failed) < max(1, min(lostTargets, known)) {
		return None
	}
	return Lost
}

// Confirm makes the links count as lost. It reports whether they didn't yet, and no
// target was reached meanwhile.
func (t *Tracker) Confirm() (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost || len(t.failed) == 0 {
		return false
	}
	t.lost = true
	return true
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
