package backoff

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// A peer refuses for two seconds while 40 requests per second want to use it. It is
// asked at growing intervals, and at once again after a success.
func TestFullPeerIsAskedLess(t *testing.T) {
	p := Tracker[string]{Shortest: 150 * time.Millisecond, Longest: 600 * time.Millisecond}
	asked := 0
	now := start
	for now.Sub(start) < 2*time.Second {
		now = now.Add(25 * time.Millisecond)
		if p.InBackoff("full", now) {
			continue
		}
		asked++
		p.Refused("full", now)
		p.Refused("full", now.Add(10*time.Millisecond)) // asked at the same time
	}
	if asked < 3 || asked > 6 {
		t.Errorf("asked %d times in 2s, want 3 to 6", asked)
	}
	p.Succeeded("full")
	if p.InBackoff("full", now) {
		t.Error("in backoff after a success")
	}
	p.Refused("full", now)
	if !p.InBackoff("full", now.Add(149*time.Millisecond)) || p.InBackoff("full", now.Add(150*time.Millisecond)) {
		t.Error("after a success the backoff doesn't start at the shortest time")
	}
	if p.InBackoff("other", now) {
		t.Error("a peer that never refused is in backoff")
	}
}
