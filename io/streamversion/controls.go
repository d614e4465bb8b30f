package streamversion

import (
	"slices"
	"sync"
	"time"
)

// controlList tells since when the control VMs have been the same ones. An entry VM that was
// out of step may not know one that has joined since then, nor ask it.
type controlList struct {
	mu    sync.Mutex
	known []string
	since time.Time // of the last change, zero if there was none
}

// unchanged returns how long the control VMs have been these, at most a duration.
func (l *controlList) unchanged(addresses []string, now time.Time, most time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses = slices.Sorted(slices.Values(addresses))
	if l.known != nil && !slices.Equal(l.known, addresses) {
		l.since = now
	}
	l.known = addresses
	if l.since.IsZero() {
		return most
	}
	return min(most, now.Sub(l.since))
}
