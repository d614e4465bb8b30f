package place

import (
	"fmt"
	"testing"
	"time"

	"kingcuprill/core/instance"
)

const testObjective = time.Second

func returning(own string, now time.Time) Request {
	return Request{
		Service: "llm", Sticky: true, Now: now, Deadline: now.Add(10 * time.Second), Memory: 1_000_000, Coordinated: true,
		Objective: testObjective, PreferredBound: testObjective / 2, Bound: testObjective * 95 / 100,
		Demand: Demand{Prompt: 5000, Output: 100, Parts: []Part{{"shared", 4000}, {own, 1000}}},
	}
}

// All slots are taken; a request is refused. When it returns while answers are slow,
// it is admitted before a new one, which would be too late.
func TestReturnedRequestHasPrecedence(t *testing.T) {
	p := placers(1, 1, func(r *instance.Registration) { r.Slots = 2 })[0]
	var held []*Assignment
	for i := range 2 {
		assignment, _, reason := p.Pick(returning(fmt.Sprint("held", i), start))
		if assignment == nil {
			t.Fatal(reason)
		}
		held = append(held, assignment)
	}
	if assignment, _, _ := p.Pick(returning("patient", start)); assignment != nil {
		t.Fatal("a request beyond the slots is admitted")
	}
	later := start.Add(testObjective / 2)
	held[0].Answered(later)
	held[1].Answered(later)
	held[0].Done(Success, later)
	target := held[0].Target
	target.base[0].average, target.base[0].at = testObjective*945/1000, later // answers begin late
	if assignment, _, _ := p.Pick(returning("new", later)); assignment != nil {
		t.Fatal("a new request is admitted, though its answer would begin late")
	}
	if assignment, _, reason := p.Pick(returning("patient", later)); assignment == nil {
		t.Errorf("the request that has returned is refused again: %s", reason)
	}
}

// A caller with less time left than others isn't one that returns: its first request
// goes to the target that holds its shared part.
func TestShortDeadlineIsNoReturn(t *testing.T) {
	p := placers(1, 8, nil)[0]
	first, _, _ := p.Pick(returning("a", start))
	for i := range 20 {
		r := returning(fmt.Sprint("b", i), start)
		r.Deadline = start.Add(time.Duration(2+i) * 100 * time.Millisecond)
		assignment, _, reason := p.Pick(r)
		if assignment == nil {
			t.Fatal(reason)
		}
		if assignment.Target != first.Target {
			t.Errorf("request %d with %v left goes to %s, its part is at %s", i, r.Deadline.Sub(start), assignment.Target.ID, first.Target.ID)
		}
	}
}

// Refusals are forgotten after the deadlines of their requests.
func TestRefusalsExpire(t *testing.T) {
	f := refusals{rows: map[string]refusal{}}
	for i := range 100 {
		f.add(returning(fmt.Sprint(i), start))
	}
	f.add(returning("last", start.Add(time.Minute)))
	if len(f.rows) != 1 {
		t.Errorf("%d refusals are remembered, want 1", len(f.rows))
	}
}
