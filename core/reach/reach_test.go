package reach

import (
	"testing"
	"time"
)

func TestLinksAreLostWhenNoTargetIsReached(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	type dial struct {
		after  time.Duration
		target string
		ok     bool
	}
	tests := []struct {
		name  string
		known int
		dials []dial
		lost  bool
	}{
		{"one of many", 10, []dial{{0, "a", false}, {1, "a", false}, {2, "a", false}}, false},
		{"three of many", 10, []dial{{0, "a", false}, {1, "b", false}, {2, "c", false}}, true},
		{"one between is reached", 10, []dial{{0, "a", false}, {1, "b", false}, {2, "d", true}, {3, "c", false}}, false},
		{"all of two", 2, []dial{{0, "a", false}, {1, "b", false}}, true},
		{"one of two", 2, []dial{{0, "a", false}, {1, "a", false}}, false},
		{"long ago", 10, []dial{{0, "a", false}, {3 * time.Second, "b", false}, {6 * time.Second, "c", false}}, false},
		{"whole again", 10, []dial{{0, "a", false}, {1, "b", false}, {2, "c", false}, {3, "a", true}}, false},
	}
	for _, test := range tests {
		tracker := NewTracker()
		changes := 0
		for _, d := range test.dials {
			switch tracker.Dialed(d.target, d.ok, test.known, start.Add(d.after)) {
			case Lost:
				if tracker.Confirm() {
					changes++
				}
			case Whole:
				changes++
			}
		}
		if tracker.Lost() != test.lost || changes > 2 {
			t.Errorf("%s: lost %v after %d changes", test.name, tracker.Lost(), changes)
		}
	}
}
