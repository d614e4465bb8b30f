package pause

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// Load pattern: a peer is full for two seconds and asked for each request, 40 a
// second. It is asked less and less, and again at once when it has room.
func TestFullPeerIsAskedLess(t *testing.T) {
	p := Pauses[string]{Shortest: 150 * time.Millisecond, Longest: 600 * time.Millisecond}
	asked := 0
	now := start
	for now.Sub(start) < 2*time.Second {
		now = now.Add(25 * time.Millisecond)
		if p.Paused("full", now) {
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
	if p.Paused("full", now) {
		t.Error("paused after a success")
	}
	p.Refused("full", now)
	if !p.Paused("full", now.Add(149*time.Millisecond)) || p.Paused("full", now.Add(150*time.Millisecond)) {
		t.Error("after a success the pauses don't begin anew")
	}
	if p.Paused("other", now) {
		t.Error("another peer is paused as well")
	}
}
