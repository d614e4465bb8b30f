package front

import "sync"

// maxOnce bounds the targets that are remembered.
const maxOnce = 1 << 12

// onceEach tells whether something is seen for the first time, for each target. The zero
// value is ready for use.
type onceEach struct {
	mu   sync.Mutex
	seen map[string]bool
}

// first reports whether it is called for a target for the first time.
func (o *onceEach) first(target string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen[target] || len(o.seen) >= maxOnce {
		return false
	}
	if o.seen == nil {
		o.seen = map[string]bool{}
	}
	o.seen[target] = true
	return true
}
