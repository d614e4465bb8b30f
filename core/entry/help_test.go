package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// At a region's peak the links of its VMs were full of callers' requests, while those of other
// regions were idle. A region must not help that is itself busy, or isn't home of as many
// routes, or of which this VM may not know enough.
func TestOtherRegionsHelpWhileLinksAreFull(t *testing.T) {
	const perRegion = 4
	tests := map[string]struct {
		busy    map[string]int // VMs with busy links, which are full in region a
		spare   bool           // those of region a aren't full
		homes   map[string]int
		unknown bool
		off     bool
		want    string // region that helps
	}{
		"calm":                     {homes: map[string]int{"a": 1, "b": 1, "c": 1}},
		"busy, but not full":       {busy: map[string]int{"a": 4}, spare: true, homes: map[string]int{"a": 1, "b": 1, "c": 1}},
		"a quarter is full":        {busy: map[string]int{"a": 1}, homes: map[string]int{"a": 1, "b": 1, "c": 1}},
		"full":                     {busy: map[string]int{"a": 3}, homes: map[string]int{"a": 1, "b": 1}, want: "b"},
		"the other is busy too":    {busy: map[string]int{"a": 4, "b": 2}, homes: map[string]int{"a": 1, "b": 1}},
		"the other is no home":     {busy: map[string]int{"a": 4}, homes: map[string]int{"a": 2, "b": 1, "c": 1}},
		"the third is a home":      {busy: map[string]int{"a": 4}, homes: map[string]int{"a": 1, "c": 1}, want: "c"},
		"it is switched off":       {busy: map[string]int{"a": 4}, homes: map[string]int{"a": 1, "b": 1}, off: true},
		"this VM has just started": {busy: map[string]int{"a": 4}, homes: map[string]int{"a": 1, "b": 1}, unknown: true},
		"one of the other is busy": {busy: map[string]int{"a": 4, "b": 0, "c": 1}, homes: map[string]int{"a": 1, "c": 1}},
		"all are":                  {busy: map[string]int{"a": 4, "b": 4, "c": 4}, homes: map[string]int{"a": 1, "b": 1, "c": 1}},
	}
	for name, test := range tests {
		var vms []VM
		for _, region := range []string{"a", "b", "c"} {
			for i := range perRegion {
				vms = append(vms, VM{ID: fmt.Sprint(region, i), Region: region, CallerAddress: fmt.Sprint(region, i), Ready: true, LinkBusy: i < test.busy[region], LinkFull: region == "a" && !test.spare && i < test.busy[region]})
			}
		}
		d := Directory{VMs: vms, SpreadCallers: !test.off, AllowOtherRegions: !test.unknown, HomeCount: func(region string) int { return test.homes[region] }, Stops: NewStops(0)}
		got := map[string]int{}
		for _, address := range d.Resolve("a") {
			got[strings.TrimRight(address, "0123456789")]++
		}
		want := map[string]int{"a": perRegion}
		if test.want != "" {
			want[test.want] = perRegion - test.busy[test.want]
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
		if !slices.IsSorted(d.Resolve("a")) {
			t.Errorf("%s: the addresses aren't sorted", name)
		}
	}
}
