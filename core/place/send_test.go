package place

import (
	"testing"
	"time"

	"kingcuprill/core/instance"
)

// A place was used though the VM that sends knew better than the one that gave it.
func TestPlacesOfAVMThatIsBehind(t *testing.T) {
	row := instance.Registration{ID: "t", Service: "s", Address: "a:1", DataCentre: "dc", Version: "v1", State: instance.Ready, Heard: start}
	at := Place{Target: "t", Address: "a:1", Version: "v1"}
	with := func(change func(*instance.Registration)) instance.Registration {
		r := row
		change(&r)
		return r
	}
	leaveBy := start.Add(time.Second)
	for name, test := range map[string]struct {
		known     instance.Registration
		at        Place
		evacuated string
		// whether it may be sent, confirmed or not
		confirmed, unconfirmed bool
	}{
		"ready":                           {known: row, at: at, confirmed: true, unconfirmed: true},
		"draining":                        {known: with(func(r *instance.Registration) { r.State = instance.Draining }), at: at},
		"left":                            {known: with(func(r *instance.Registration) { r.State = instance.Left }), at: at},
		"past its time":                   {known: with(func(r *instance.Registration) { r.LeaveBy = leaveBy }), at: at},
		"evacuated":                       {known: row, at: at, evacuated: "dc"},
		"another data centre evacuated":   {known: row, at: at, evacuated: "other", confirmed: true, unconfirmed: true},
		"not known":                       {known: with(func(r *instance.Registration) { r.ID = "other" }), at: at, unconfirmed: true},
		"started again elsewhere":         {known: with(func(r *instance.Registration) { r.Address = "a:2" }), at: at, unconfirmed: true},
		"started again, another version":  {known: with(func(r *instance.Registration) { r.Version = "v2" }), at: at, unconfirmed: true},
		"a VM that doesn't tell versions": {known: row, at: Place{Target: "t", Address: "a:1"}, confirmed: true, unconfirmed: true},
	} {
		p := NewPlacer("vm", "r")
		p.SetTargets(map[string]instance.Registration{test.known.ID: test.known}, region)
		now := start.Add(2 * time.Second)
		for confirmed, want := range map[bool]bool{true: test.confirmed, false: test.unconfirmed} {
			by := View{Evacuated: map[string]bool{test.evacuated: true}, Confirmed: confirmed}
			if got := p.MaySend(test.at, by, now); got != want {
				t.Errorf("%s, confirmed %v: may be sent %v, want %v", name, confirmed, got, want)
			}
		}
	}
}

// The rest of a stream went to a target of whose version only the coordinator was sure.
func TestRestsOfStreamsNeedTwoToNameTheVersion(t *testing.T) {
	row := instance.Registration{ID: "t", Service: "s", Address: "a:1", Version: "v1", State: instance.Ready, Heard: start}
	p := NewPlacer("vm", "r")
	p.SetTargets(map[string]instance.Registration{"t": row}, region)
	for name, test := range map[string]struct {
		at   Place
		want bool
	}{
		"both name it":         {Place{Target: "t", Address: "a:1", Version: "v1"}, true},
		"another version here": {Place{Target: "t", Address: "a:1", Version: "v2"}, false},
		"another address here": {Place{Target: "t", Address: "a:2", Version: "v1"}, false},
		"not known here":       {Place{Target: "other", Address: "a:1", Version: "v1"}, false},
	} {
		for _, confirmed := range []bool{true, false} {
			if got := p.MaySend(test.at, View{Confirmed: confirmed, SameVersion: true}, start); got != test.want {
				t.Errorf("%s, confirmed %v: may be sent %v, want %v", name, confirmed, got, test.want)
			}
		}
	}
}
