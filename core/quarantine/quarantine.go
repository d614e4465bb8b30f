// Package quarantine detects requests that crash the targets that run them. A
// request is identified by the fingerprint of its content. A fingerprint that was
// in flight at two different crashes is refused for an hour. A VM reports each
// crash and refusal once to all others that it knows, so a VM that misses a report
// may still accept the request. The list is kept in memory.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crashesToQuarantine = 2
	suspectFor          = 10 * time.Minute // after the last crash
	// Duration is how long a fingerprint is refused.
	Duration = time.Hour
)

// Fingerprint returns a hash that identifies the content of a request.
func Fingerprint(organisation, route, content string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + route + "\x00" + content))
	return hex.EncodeToString(sum[:16])
}

type suspect struct {
	crashes map[string]bool // target and boot id of each crash
	until   time.Time
}

// List holds the fingerprints that were in flight at crashes.
type List struct {
	entries  atomic.Int64 // of both maps; requests take no lock while there are none
	mu       sync.Mutex
	suspects map[string]suspect
	refused  map[string]time.Time // until when
}

// NewList returns an empty list.
func NewList() *List {
	return &List{suspects: map[string]suspect{}, refused: map[string]time.Time{}}
}

// RecordCrash records that a fingerprint was in flight when a boot of a target
// crashed; boot holds the ids of both. Further reports of the same boot don't count.
// It returns whether the fingerprint is now refused.
func (l *List) RecordCrash(fingerprint, boot string) (refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.countEntries()
	now := time.Now()
	s := l.suspects[fingerprint]
	if s.crashes == nil || !now.Before(s.until) {
		s.crashes = map[string]bool{}
	}
	s.crashes[boot] = true
	s.until = now.Add(suspectFor)
	l.suspects[fingerprint] = s
	if len(s.crashes) >= crashesToQuarantine {
		l.refused[fingerprint] = now.Add(Duration)
		return true
	}
	return false
}

// Clear must be called when a request with the fingerprint has run to its end. Its
// earlier crashes no longer count.
func (l *List) Clear(fingerprint string) {
	if l.entries.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.countEntries()
	delete(l.suspects, fingerprint)
}

// Refuse adds fingerprints that another VM refuses, for Duration from now.
func (l *List) Refuse(fingerprints []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.countEntries()
	until := time.Now().Add(Duration)
	for _, fingerprint := range fingerprints {
		if _, known := l.refused[fingerprint]; !known {
			l.refused[fingerprint] = until
		}
	}
}

// Refused reports whether a fingerprint is refused.
func (l *List) Refused(fingerprint string) bool {
	if l.entries.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	until, found := l.refused[fingerprint]
	return found && time.Now().Before(until)
}

// IsSuspect reports whether a fingerprint was in flight at a recent crash.
func (l *List) IsSuspect(fingerprint string) bool {
	if l.entries.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, found := l.suspects[fingerprint]
	return found && time.Now().Before(s.until)
}

// Expire deletes the entries whose time has passed.
func (l *List) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.countEntries()
	now := time.Now()
	maps.DeleteFunc(l.suspects, func(_ string, s suspect) bool { return !now.Before(s.until) })
	maps.DeleteFunc(l.refused, func(_ string, until time.Time) bool { return !now.Before(until) })
}

func (l *List) countEntries() {
	l.entries.Store(int64(len(l.suspects) + len(l.refused)))
}
