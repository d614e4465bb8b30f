package brittle

import (
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	tests := []struct {
		values []string
		want   Notice
		valid  bool
	}{
		{nil, Notice{}, true},
		{[]string{"5"}, Notice{true, 5}, true},
		{[]string{" 0 "}, Notice{true, 0}, true},
		{[]string{"2.9"}, Notice{true, 2}, true},
		{[]string{"7", "3"}, Notice{true, 3}, true},
		{[]string{"1e300"}, Notice{true, 1<<31 - 1}, true},
		{[]string{"-1"}, Notice{}, false},
		{[]string{"NaN"}, Notice{}, false},
		{[]string{"many"}, Notice{}, false},
		{[]string{""}, Notice{}, false},
	}
	for _, test := range tests {
		if got, err := Parse(test.values); got != test.want || (err == nil) != test.valid {
			t.Errorf("%q: %v, %v", test.values, got, err)
		}
	}
}

// A target that refuses gets nothing for a second, then fewer requests than before, and
// more as time passes. None is starved, whatever it names.
func TestRoomAfterRefusals(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, most := range []int{0, 1, 6, 1 << 30} {
		s := State{}
		s.Observe(Notice{Named: true, Most: most}, start)
		for range max(1, most/2) % 1000 {
			s.Refused(10, start)
		}
		if room := s.Room(10, start); room != 0 && most < 1000 {
			t.Errorf("at %d: room for %d after refusals", most, room)
		}
		if room := s.Room(10, start.Add(window)); room < 1 || room > 9 {
			t.Errorf("at %d: room for %d after a second", most, room)
		}
		if room := s.Room(10, start.Add(growTime)); room != 10 {
			t.Errorf("at %d: room for %d in the end", most, room)
		}
	}
}

// An answer to a request from before the newest notice doesn't end it; a later one does.
func TestLateAnswerEndsNothing(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	s := State{}
	s.Observe(Notice{Named: true, Most: 4}, start)
	if s.Observe(Notice{}, start.Add(-time.Second)); !s.Named {
		t.Error("ended by a late answer")
	}
	if changed := s.Observe(Notice{}, start.Add(time.Second)); !changed || s.Named {
		t.Error("not ended")
	}
}
