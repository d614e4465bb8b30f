package place

import (
	"testing"
	"time"

	"kingcuprill/core/instance"
)

// sentInASecond returns the number of requests that all VMs send to targets in the second
// after a point in time, with one request each 10 ms at each VM.
func sentInASecond(all []*Placer, coldRate float64, from time.Time) (sent int) {
	for at := from; at.Before(from.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
		for _, p := range all {
			assignment, _, _ := p.Pick(Request{Service: "llm", ColdRate: coldRate, Deadline: at.Add(10 * time.Second), Now: at})
			if assignment != nil {
				sent++
				assignment.Answered(at)
				assignment.Done(Success, at)
			}
		}
	}
	return sent
}

// Targets whose heartbeats didn't arrive while their data centre was evacuated were cold at
// its end and got 10 or 11 requests in one second, where 7.9 are allowed.
func TestTargetsBehindACutAreColdAfterAnEvacuation(t *testing.T) {
	const rate, most = 3.3, 6
	end := start.Add(4 * time.Second)
	tests := map[string]struct {
		heard time.Time
		after time.Duration
		cold  bool
	}{
		"not heard of since":           {heard: start.Add(2 * time.Second), cold: true},
		"not heard of since, later":    {heard: start.Add(2 * time.Second), after: 5 * time.Second, cold: true},
		"heard of again":               {heard: end.Add(time.Second), after: time.Second},
		"not heard of for a long time": {heard: start.Add(2 * time.Second), after: unheardCold},
	}
	for name, test := range tests {
		all := placers(3, 1, func(r *instance.Registration) { r.Heard = test.heard })
		for _, p := range all {
			p.SetEvacuated(map[string]bool{"dc": true}, start)
			p.SetEvacuated(map[string]bool{"dc": true, "other": true}, start.Add(time.Second))
			p.SetEvacuated(nil, end)
		}
		if sent := sentInASecond(all, rate, end.Add(test.after)); (sent <= most) != test.cold {
			t.Errorf("%s: %d requests in a second, cold %v", name, sent, test.cold)
		}
	}
}

// An evacuation elsewhere says nothing about a target.
func TestTargetsElsewhereStayWarmAfterAnEvacuation(t *testing.T) {
	all := placers(3, 1, nil)
	for _, p := range all {
		p.SetEvacuated(map[string]bool{"other": true}, start)
		p.SetEvacuated(nil, start.Add(time.Second))
	}
	if sent := sentInASecond(all, 3.3, start.Add(time.Second)); sent < 100 {
		t.Errorf("%d requests in a second", sent)
	}
}
