package streamversion

import (
	"slices"
	"sync"
	"time"
)

// Heard tracks which versions of services have been in use. It is safe for concurrent
// use.
type Heard struct {
	since time.Time

	mu   sync.Mutex
	last map[Version]time.Time
}

// NewHeard returns a tracker that has heard of no version. It knows of those in use from
// since on.
func NewHeard(since time.Time) *Heard {
	return &Heard{since: since, last: map[Version]time.Time{}}
}

// Note records that a target has reported its version.
func (h *Heard) Note(v Version, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last[v] = now
	for known, at := range h.last {
		if now.Sub(at) > 2*Retention {
			delete(h.last, known)
		}
	}
}

// Recent returns the versions of a service that may have been in use within Retention,
// in order, and how long this tracker has listened.
func (h *Heard) Recent(service string, now time.Time) (versions []string, listened time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for v, at := range h.last {
		if v.Service == service && now.Sub(at) <= 2*Retention {
			versions = append(versions, v.Version)
		}
	}
	slices.Sort(versions)
	return versions, now.Sub(h.since)
}
