package lease

import (
	"testing"
	"time"
)

func TestLease(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now }, 4*time.Second)
	if l.Valid() {
		t.Error("valid before any confirmation")
	}
	sent := l.Now()
	now = 3 * time.Second // the answer took 3 s
	l.Confirm(sent)
	if left := l.Left(); left != time.Second {
		t.Errorf("left %v, want 1s: the time counts from when the question was sent", left)
	}
	l.Confirm(sent - time.Second) // the answer to an earlier question, received later
	if left := l.Left(); left != time.Second {
		t.Errorf("left %v after an older answer, want 1s", left)
	}
	now = 100 * time.Second // the VM was suspended
	if l.Valid() {
		t.Error("valid after a suspension")
	}
}

func TestWithin(t *testing.T) {
	now := time.Duration(0)
	l := New(func() time.Duration { return now }, 4*time.Second)
	if l.Within(0) || l.Within(time.Hour) {
		t.Error("a question counts as confirmed before any confirmation")
	}
	now = 10 * time.Second
	l.Confirm(now)
	for after, want := range map[time.Duration][3]bool{
		2 * time.Second: {true, true, true}, 3 * time.Second: {true, false, true}, 4 * time.Second: {false, false, false},
	} {
		now = 10*time.Second + after
		if got := [3]bool{l.Within(0), l.Within(3 * time.Second), l.Within(time.Hour)}; got != want {
			t.Errorf("%v after the confirmed question: %v, want %v", after, got, want)
		}
	}
}
