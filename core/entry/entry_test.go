package entry

import (
	"fmt"
	"slices"
	"testing"

	"kingcuprill/core/rendezvous"
)

func TestDirectory(t *testing.T) {
	vms := []VM{
		{ID: "a1", Region: "a", CallerAddress: "a1:1", Ready: true},
		{ID: "a2", Region: "a", CallerAddress: "a2:1"},
		{ID: "b1", Region: "b", CallerAddress: "b1:1", Ready: true},
		{ID: "c1", Region: "c", CallerAddress: "c1:1", Ready: true},
		{ID: "d1", Region: "d", CallerAddress: "d1:1"},
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
		d := Directory{VMs: vms, AllowOtherRegions: test.otherRegions, HomeCount: func(region string) int { return homes[region] }}
		if got := d.Resolve(test.region); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// A region has more VMs than an answer may name. Those that are named stay the same
// when others leave, and the first coordinators aren't among them.
func TestCoordinatorsAreNotNamed(t *testing.T) {
	const count = MaxAddresses + 34
	d := Directory{}
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
	all := Union(map[string]map[string]VM{"x": {"a": {ID: "a", Ready: true}}, "y": {"a": {ID: "a"}, "b": {ID: "b"}}})
	if len(all) != 2 || !all[0].Ready || all[1].Ready {
		t.Errorf("union is %v", all)
	}
}
