package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kingcuprill/core/rendezvous"
)

func TestDirectory(t *testing.T) {
	vms := []VM{
		{ID: "a1", Region: "a", CallerAddress: "a1:1", Ready: true},
		{ID: "a2", Region: "a"},
		{ID: "b1", Region: "b", CallerAddress: "b1:1", Ready: true},
		{ID: "c1", Region: "c", CallerAddress: "c1:1", Ready: true},
		{ID: "d1", Region: "d"},
	}
	homes := map[string]int{"b": 2}
	tests := []struct {
		name, region string
		otherRegions bool
		want         []string
	}{
		{"own region", "a", true, []string{"a1:1"}},
		{"no ready VM: regions that are homes", "d", true, []string{"b1:1"}},
		{"no ready VM, this one can't know", "d", false, nil},
	}
	for _, test := range tests {
		d := Directory{VMs: vms, AllowOtherRegions: test.otherRegions, HomeCount: func(region string) int { return homes[region] }, Stops: NewStops(0)}
		if got := d.Resolve(test.region); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// All VMs of some regions make planned stops. Of the regions, a and b are homes, c and d aren't.
func TestPlannedStopsKeepCallersInRegionsThatMayServeThem(t *testing.T) {
	const ready, accepting, closed, lost = "ready", "accepting", "closed", "lost"
	homes := map[string]int{"a": 3, "b": 3, "c": 1}
	tests := []struct {
		name      string
		states    map[string]string // by region
		region    string
		justBegun bool // the directory allows no other regions
		want      []string
	}{
		{"another home", map[string]string{"a": accepting, "b": ready, "c": ready}, "a", false, []string{"b"}},
		{"the stopping VM before a region that isn't a home", map[string]string{"a": accepting, "b": closed, "c": ready}, "a", false, []string{"a"}},
		{"the stopping VM of another home", map[string]string{"a": closed, "b": accepting, "c": ready}, "a", false, []string{"b"}},
		{"a wait", map[string]string{"a": closed, "b": closed, "c": ready}, "a", false, nil},
		{"no VM returns", map[string]string{"a": lost, "b": closed, "c": ready}, "a", false, []string{"c"}},
		{"a region that isn't a home needs none", map[string]string{"a": closed, "c": ready, "d": closed}, "d", false, []string{"c"}},
		{"the directory has just begun", map[string]string{"a": accepting, "b": ready}, "a", true, []string{"a"}},
	}
	for _, test := range tests {
		d := Directory{AllowOtherRegions: !test.justBegun, HomeCount: func(region string) int { return homes[region] }, Stops: NewStops(8 * time.Second)}
		var before []VM
		for region, state := range test.states {
			v := VM{ID: region, Region: region, CallerAddress: region}
			if state == closed || state == accepting {
				before = append(before, v)
			}
			if state == closed || state == lost {
				v.CallerAddress = ""
			}
			v.Ready = state == ready
			d.VMs = append(d.VMs, v)
		}
		d.Stops.Note(before, time.Now())
		d.Stops.Note(d.VMs, time.Now())
		if got := d.Resolve(test.region); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestStops(t *testing.T) {
	start := time.Now()
	s := NewStops(8 * time.Second)
	ready, stops, closed := VM{ID: "1", Region: "a", CallerAddress: "x", Ready: true}, VM{ID: "1", Region: "a", CallerAddress: "x"}, VM{ID: "1", Region: "a"}
	lost := VM{ID: "2", Region: "b"}
	tests := []struct {
		name      string
		after     time.Duration
		state     VM
		accepting int
		returning bool
	}{
		{"ready", 0, ready, 0, false},
		{"stops", time.Second, stops, 1, true},
		{"doesn't report that it has closed", 3 * time.Second, stops, 0, true},
		{"has closed", 9 * time.Second, closed, 0, true},
		{"stays away", 11 * time.Second, closed, 0, false},
		{"is ready again", 12 * time.Second, ready, 0, false},
		{"stops again", 13 * time.Second, stops, 1, true},
		{"is back soon", 14 * time.Second, ready, 0, false},
	}
	for _, test := range tests {
		s.Note([]VM{test.state, lost}, start.Add(test.after))
		if got := len(s.Accepting()); got != test.accepting || s.Returning("a") != test.returning || s.Returning("b") {
			t.Errorf("%s: %d accept, returning %v, and a lost one %v", test.name, got, s.Returning("a"), s.Returning("b"))
		}
	}
}

// A region has more VMs than an answer may name. Those that are named stay the same
// when others leave, and the first coordinators aren't among them.
func TestCoordinatorsAreNotNamed(t *testing.T) {
	const count = MaxAddresses + 34
	d := Directory{HomeCount: func(string) int { return 0 }, Stops: NewStops(0)}
	var ids []string
	for i := range count {
		id := fmt.Sprint("vm-", i)
		ids = append(ids, id)
		d.VMs = append(d.VMs, VM{ID: id, Region: "r", CallerAddress: id, Ready: true})
	}
	named := d.Resolve("r")
	if len(named) != MaxAddresses {
		t.Fatalf("%d addresses", len(named))
	}
	first := rendezvous.Order("r", ids)
	for _, id := range first[:count-MaxAddresses] {
		if slices.Contains(named, id) {
			t.Errorf("%s is named, though it is among the first to coordinate", id)
		}
	}
	d.VMs = slices.DeleteFunc(d.VMs, func(v VM) bool { return v.ID == first[0] })
	if !slices.Equal(d.Resolve("r"), named) {
		t.Error("the answer changes when a VM leaves that isn't named")
	}
}

func TestUnion(t *testing.T) {
	report := func(vms ...VM) Report {
		r := Report{VMs: map[string]VM{}}
		for _, v := range vms {
			r.VMs[v.ID] = v
		}
		return r
	}
	all := Union(map[string]Report{"x": report(VM{ID: "a", Ready: true}), "y": report(VM{ID: "a"}, VM{ID: "b"})})
	if len(all) != 2 || !all[0].Ready || all[1].Ready {
		t.Errorf("union is %v", all)
	}
	for range 20 { // map order varies
		stops := Union(map[string]Report{"x": report(VM{ID: "a", CallerAddress: "a:1"}), "y": report(VM{ID: "a"})})
		if len(stops) != 1 || stops[0].CallerAddress != "a:1" {
			t.Errorf("union is %v", stops)
		}
		silent := report(VM{ID: "a", CallerAddress: "a:1", Ready: true}, VM{ID: "b", Ready: true})
		silent.Silent = true
		later := Union(map[string]Report{"x": silent, "y": report(VM{ID: "a"})})
		if len(later) != 2 || later[0] != (VM{ID: "a"}) || !later[1].Ready {
			t.Errorf("a silent control VM's word of a VM that another one reports: union is %v", later)
		}
		if alone := Union(map[string]Report{"x": silent}); len(alone) != 2 || !alone[0].Ready {
			t.Errorf("no control VM answers: union is %v", alone)
		}
	}
}
