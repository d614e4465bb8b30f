package place

import (
	"testing"
	"time"

	"kingcuprill/core/instance"
)

// Many prompts slow the events of long answers. Long answers that would miss
// their deadlines are refused; short ones are accepted.
func TestLongAnswersEnd(t *testing.T) {
	const eventTokens, timeout = 7, 12 * time.Second
	for name, test := range map[string]struct {
		gap    time.Duration
		events int // of the answer that is asked for
		wanted bool
	}{
		"events come fast":              {20 * time.Millisecond, 100, true},
		"events come slowly":            {250 * time.Millisecond, 100, false},
		"events come slowly, short one": {250 * time.Millisecond, 3, true},
	} {
		p := placers(1, 1, nil)[0]
		request := func(events int, now time.Time) Request {
			return Request{
				Service: "llm", EventTokens: eventTokens, Deadline: now.Add(timeout), Now: now,
				Demand: Demand{Prompt: 1000, Output: events * eventTokens, Expected: events * eventTokens},
			}
		}
		for range 10 {
			assignment, _, _ := p.Pick(request(100, start))
			if assignment == nil {
				t.Fatalf("%s: a stream found no target", name)
			}
			assignment.Answered(start)
			assignment.Event(start)
		}
		for _, target := range p.byService["llm"] {
			target.gap = test.gap
		}
		assignment, _, _ := p.Pick(request(test.events, start.Add(time.Second)))
		if got := assignment != nil; got != test.wanted {
			t.Errorf("%s: begun: %v, want %v", name, got, test.wanted)
		}
	}
}

// The average gap follows the observed events.
func TestGapIsLearned(t *testing.T) {
	p := placers(1, 1, func(r *instance.Registration) { r.Slots = 8 })[0]
	assignment, _, _ := p.Pick(Request{Service: "llm", EventTokens: 7, Now: start, Deadline: start.Add(time.Minute)})
	for i := range 200 {
		assignment.Event(start.Add(time.Duration(i) * 80 * time.Millisecond))
	}
	if gap := assignment.Target.gap; gap < 70*time.Millisecond || gap > 80*time.Millisecond {
		t.Errorf("learned gap %v, events come every 80ms", gap)
	}
	assignment.Done(Success, start)
	if len(assignment.Target.streams) != 0 || assignment.Target.inFlight != 0 || assignment.Target.pending != 0 {
		t.Errorf("after the end: %d streams, %d in flight, %d tokens pending", len(assignment.Target.streams), assignment.Target.inFlight, assignment.Target.pending)
	}
}
