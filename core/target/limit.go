package target

import (
	"slices"
	"sync"
	"time"

	"kingcuprill/core/rendezvous"
	"kingcuprill/core/targetlimit"
)

// RequestLimit is the limit that a target names in its answers, and this VM's share of
// it. It is safe for concurrent use; the zero value holds no limit.
type RequestLimit struct {
	mu    sync.Mutex
	limit targetlimit.Limit
}

// Observe records what an answer says whose request was sent at a time. It reports
// whether the limit is another one now.
func (l *RequestLimit) Observe(n targetlimit.Notice, sent, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Observe(n, sent, now)
}

// Allows reports whether a VM may send a request now. vms returns the ids of all VMs
// that send to the target; it is called only if the target names a limit.
func (l *RequestLimit) Allows(target, self string, vms func() []string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share(target, self, vms) && l.limit.Wait(now) == 0
}

// Take records that a request is sent. It returns false, and records nothing, if none
// may be sent.
func (l *RequestLimit) Take(target, self string, vms func() []string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.share(target, self, vms) || l.limit.Wait(now) > 0 {
		return false
	}
	l.limit.Take(now)
	return true
}

// share sets this VM's part of the limit, and reports whether it has one. As many VMs
// share a limit as it allows requests in a second, so that one request each isn't more
// than the limit.
func (l *RequestLimit) share(target, self string, vms func() []string) bool {
	if !l.limit.Named {
		return true
	}
	all := vms()
	senders := min(max(1, int(l.limit.Rate)), max(1, len(all)))
	l.limit.Share = 1 / float64(senders)
	return len(all) == 0 || slices.Contains(rendezvous.Order(target, all)[:senders], self)
}
