package instance

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func heartbeat(state State, born, sequence int64) Registration {
	return Registration{ID: "t", Service: "s", Address: "10.0.0.1:80", State: state, Born: born, Sequence: sequence, Heard: start}
}

func TestReports(t *testing.T) {
	tests := []struct {
		name    string
		reports []Registration
		want    State
		born    int64
	}{
		{"ready", []Registration{heartbeat(Ready, 1, 1)}, Ready, 1},
		{"late heartbeat after draining", []Registration{heartbeat(Ready, 1, 1), heartbeat(Draining, 1, 3), heartbeat(Ready, 1, 2)}, Draining, 1},
		{"newer heartbeat after draining", []Registration{heartbeat(Draining, 1, 3), heartbeat(Ready, 1, 4)}, Draining, 1},
		{"leave report", []Registration{heartbeat(Ready, 1, 1), {ID: "t", State: Left, Born: 1}}, Left, 1},
		{"heartbeat after leave report", []Registration{heartbeat(Ready, 1, 1), {ID: "t", State: Left, Born: 1}, heartbeat(Ready, 1, 9)}, Left, 1},
		{"new start under the old id", []Registration{heartbeat(Ready, 1, 50), {ID: "t", State: Left, Born: 1}, heartbeat(Ready, 2, 1)}, Ready, 2},
		{"heartbeat of an earlier start", []Registration{heartbeat(Ready, 2, 1), heartbeat(Draining, 1, 90)}, Ready, 2},
		{"leave report of an earlier start", []Registration{heartbeat(Ready, 2, 1), {ID: "t", State: Left, Born: 1}}, Ready, 2},
		{"leave report before any heartbeat", []Registration{{ID: "t", State: Left, Born: 1}, heartbeat(Ready, 1, 4)}, Left, 1},
	}
	for _, test := range tests {
		r := NewRegistry(time.Second)
		for _, report := range test.reports {
			r.Report(report)
		}
		row, _ := r.Table.Get("t")
		if row.State != test.want || row.Born != test.born {
			t.Errorf("%s: state %v of start %d, want %v of %d", test.name, row.State, row.Born, test.want, test.born)
		}
	}
}

func TestSilence(t *testing.T) {
	r := NewRegistry(time.Second)
	r.Report(heartbeat(Ready, 1, 1))
	if silent := r.Expire(start.Add(2 * time.Second)); len(silent) != 0 {
		t.Errorf("silent after two heartbeats' time: %v", silent)
	}
	if silent := r.Expire(start.Add(4 * time.Second)); len(silent) != 1 {
		t.Errorf("not silent after four heartbeats' time")
	}
	again := heartbeat(Ready, 1, 2)
	again.Heard = start.Add(5 * time.Second)
	if row, changed := r.Report(again); !changed || row.State != Ready {
		t.Errorf("after a heartbeat: changed %v, state %v", changed, row.State)
	}
}

// Entry VMs take targets for cold after an evacuation until they hear of them. Heartbeats that
// say nothing new weren't published. An entry VM that was cut off hears of the end late.
func TestHeartbeatsAfterAnEvacuationArePublished(t *testing.T) {
	r := NewRegistry(time.Second)
	report := func(sequence int64, dataCentre string, after time.Duration) (published bool) {
		row := heartbeat(Ready, 1, sequence)
		row.DataCentre, row.Heard = dataCentre, start.Add(after)
		row.ID = dataCentre
		before, _ := r.Table.Version()
		if _, changed := r.Report(row); changed && sequence > 1 {
			t.Errorf("heartbeat %d of %s counts as a change", sequence, dataCentre)
		}
		version, _ := r.Table.Version()
		return version > before
	}
	for _, dataCentre := range []string{"evacuated", "other"} {
		report(1, dataCentre, 0)
		if report(2, dataCentre, time.Second) {
			t.Errorf("a heartbeat of %s that says nothing new is published", dataCentre)
		}
	}
	r.EndEvacuation("evacuated", start.Add(1500*time.Millisecond))
	for sequence, after := range []time.Duration{2 * time.Second, 3 * time.Second, 10 * time.Second, 20 * time.Second} {
		for dataCentre, want := range map[string]bool{"evacuated": after < 13*time.Second, "other": false} {
			if published := report(int64(3+sequence), dataCentre, after); published != want {
				t.Errorf("heartbeat of %s after %v: published %v, want %v", dataCentre, after, published, want)
			}
		}
	}
}

// TestFleet merges control VMs that got different reports.
func TestFleet(t *testing.T) {
	f := NewFleet()
	f.Update("a", "1", []Registration{heartbeat(Ready, 1, 5)}, start)
	drained := heartbeat(Draining, 1, 3)
	f.Update("b", "1", []Registration{drained}, start)
	if got := f.All(start)["t"].State; got != Draining {
		t.Errorf("one control VM knows that it drains: %v", got)
	}
	f.Update("b", "1", []Registration{heartbeat(Ready, 2, 1)}, start)
	if got := f.All(start)["t"]; got.State != Ready || got.Born != 2 {
		t.Errorf("a new start: %v of %d", got.State, got.Born)
	}
}

// TestFleetRestart checks that the rows of a restarted control VM stay in use for
// restartGrace.
func TestFleetRestart(t *testing.T) {
	f := NewFleet()
	f.Update("a", "1", []Registration{heartbeat(Ready, 1, 5)}, start)
	f.Update("a", "2", nil, start)
	if _, found := f.All(start.Add(time.Second))["t"]; !found {
		t.Error("a target is forgotten when its control VM restarts")
	}
	if _, found := f.All(start.Add(restartGrace + time.Second))["t"]; found {
		t.Error("a target that reports no more is kept after the control VM's restart")
	}
}
