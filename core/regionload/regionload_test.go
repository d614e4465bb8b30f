package regionload

import (
	"testing"
	"time"
)

var (
	began = time.Unix(1_800_000_000, 0)
	there = Kind{Region: "there", Service: "s"}
	need  = Need{Reading: 50 * time.Millisecond, Objective: objective}
)

// answer sends a request that is answered with a prediction after some time.
func answer(t *Table, predicted, after time.Duration, now time.Time) {
	forwarded := t.Send(there, need.Reading, 0, now)
	forwarded.Learn(predicted, now.Add(after))
	forwarded.End()
}

func expect(t *testing.T, table *Table, now time.Time, least, most time.Duration, fresh, trial bool) {
	t.Helper()
	p := table.Predict(there, need, now)
	if p.Begin < least || p.Begin > most || p.Fresh != fresh || p.Trial != trial {
		t.Errorf("%+v; want %v to %v, fresh %v, trial %v", p, least, most, fresh, trial)
	}
}

// A VM that has just started sent all its requests to a region that it knew nothing of.
func TestUnknownRegionGetsASmallShare(t *testing.T) {
	table, now, sent := &Table{}, began, 0
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		if !table.Predict(there, need, now).Trial {
			table.Skip(there, now)
			continue
		}
		sent++
		table.Send(there, need.Reading, 0, now).End() // nothing is learned
	}
	if sent < 10 || sent > 30 {
		t.Errorf("%d of 200 requests tried an unknown region, want about a tenth", sent)
	}
}

// The prediction must follow a change within a second of traffic, in both directions.
func TestPredictionFollowsChanges(t *testing.T) {
	table, now := &Table{}, began
	for _, real := range []time.Duration{100 * time.Millisecond, time.Second, 150 * time.Millisecond} {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			answer(table, real, 0, now)
		}
		expect(t, table, now, real*8/10, real*12/10, true, false)
	}
}

// A region that was full minutes ago was never tried again, or by all at once.
func TestOldPredictionLosesWeight(t *testing.T) {
	table := &Table{}
	forwarded := table.Send(there, need.Reading, 0, began)
	forwarded.Refused(0, objective, began)
	forwarded.End()
	expect(t, table, began.Add(time.Second), objective, 2*objective, true, false)
	later := began.Add(20 * time.Second)
	expect(t, table, later, 0, objective/2, false, false)
	for range 11 {
		table.Skip(there, later)
	}
	expect(t, table, later, 0, objective/2, false, true)
	table.Send(there, need.Reading, 0, later)
	for range 11 {
		table.Skip(there, later)
	}
	if table.Predict(there, need, later).Trial {
		t.Error("a second request tries the region before the first has come back")
	}
}

// A region behind a partition answers nothing. It kept its short prediction.
func TestRegionThatDoesNotAnswerLooksSlow(t *testing.T) {
	table := &Table{}
	answer(table, 100*time.Millisecond, 0, began)
	forwarded := table.Send(there, need.Reading, 0, began.Add(time.Millisecond))
	expect(t, table, began.Add(1500*time.Millisecond), time.Second, 2*time.Second, true, false)
	forwarded.End()
	expect(t, table, began.Add(1500*time.Millisecond), 100*time.Millisecond, 100*time.Millisecond, true, false)
}

// One request without an answer, among others that are answered, is no sign of its region.
func TestOneLostAnswerIsNoSignOfItsRegion(t *testing.T) {
	table := &Table{}
	table.Send(there, need.Reading, 0, began)
	answer(table, 100*time.Millisecond, time.Second, began.Add(time.Millisecond))
	expect(t, table, began.Add(1500*time.Millisecond), 100*time.Millisecond, 100*time.Millisecond, true, false)
}

// A burst of requests left between two predictions, and each took the region for idle.
func TestSentWorkCountsUntilItIsPredicted(t *testing.T) {
	table := &Table{}
	answer(table, 100*time.Millisecond, 0, began)
	var requests []*ForwardedRequest
	for range 20 {
		requests = append(requests, table.Send(there, need.Reading, 30*time.Millisecond, began))
	}
	expect(t, table, began, 700*time.Millisecond, 700*time.Millisecond, true, false)
	requests[19].Learn(400*time.Millisecond, began.Add(300*time.Millisecond))
	expect(t, table, began.Add(300*time.Millisecond), 100*time.Millisecond, 400*time.Millisecond, true, false)
}

// A VM with many services must not remember them without bound.
func TestKindsAreBounded(t *testing.T) {
	table := &Table{}
	for i := range 3 * maxKinds {
		forwarded := table.Send(Kind{Region: "r", Service: "s", Rank: i}, 0, 0, began)
		defer forwarded.End()
		defer forwarded.Learn(time.Second, began)
	}
	if len(table.kinds) > maxKinds {
		t.Errorf("%d kinds", len(table.kinds))
	}
}

// Texts that no VM of this build sends were read as predictions.
func TestOnlyWholeMillisecondsArePredictions(t *testing.T) {
	for _, text := range []string{"", "-1", "+1", "1.5", "1e3", "NaN", " 1", "1 ", "0x10", "1000000", "99999999999999999999", "１", "12ms", "1,2"} {
		if predicted, found := Parse(text); found {
			t.Errorf("%q is read as %v", text, predicted)
		}
	}
	for _, predicted := range []time.Duration{time.Millisecond, 1234 * time.Millisecond, 999_999 * time.Millisecond} {
		if read, found := Parse(Format(predicted)); !found || read != predicted {
			t.Errorf("%v is read as %v", predicted, read)
		}
	}
	for predicted, want := range map[time.Duration]string{0: "", -time.Second: "", time.Microsecond: "1", time.Hour: "999999"} {
		if text := Format(predicted); text != want {
			t.Errorf("%v is written as %q, want %q", predicted, text, want)
		}
	}
}
