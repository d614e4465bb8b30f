package entry

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// needsHelp is the share of the VMs of a region with full links from which on callers are
	// sent to another region, too. mayHelp is the share of VMs with busy links below which a
	// region is one to help.
	needsHelp = 0.5
	mayHelp   = 0.25
)

// withHelp adds VMs of another region to the addresses of a region's VMs while the links of
// these are full.
//
// At its peak a region may be sent more than the links of its VMs carry, while those of other
// regions are nearly idle. Refusing and forwarding don't help then, as the requests have
// already come over the busy links. Callers that connect to another region spare them. Only
// regions are named that are homes of as many routes and organisations.
func (d Directory) withHelp(addresses []string, vms []VM, region string) []string {
	byRegion := map[string][]VM{}
	for _, v := range vms {
		byRegion[v.Region] = append(byRegion[v.Region], v)
	}
	if !d.SpreadCallers || !d.AllowOtherRegions || share(byRegion[region], VM.linkFull) < needsHelp {
		return addresses
	}
	helper, found := d.helper(byRegion, region)
	if !found {
		return addresses
	}
	free := slices.DeleteFunc(serving(vms, helper), func(v VM) bool { return v.LinkBusy })
	more := addressesOf(free)
	addresses = append(addresses, more[:min(len(more), max(0, MaxAddresses-len(addresses)))]...)
	slices.Sort(addresses)
	return addresses
}

// helper returns the region with the most free VMs that may help another one.
func (d Directory) helper(byRegion map[string][]VM, region string) (best string, found bool) {
	homes := d.HomeCount(region)
	may := func(other string) bool {
		return other != region && d.HomeCount(other) >= homes && share(byRegion[other], VM.linkBusy) < mayHelp
	}
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(byRegion)), func(other string) bool { return !may(other) })
	if len(others) == 0 {
		return "", false
	}
	return slices.MaxFunc(others, func(a, b string) int { return cmp.Compare(len(byRegion[a]), len(byRegion[b])) }), true
}

func (v VM) linkFull() bool { return v.LinkFull }

func (v VM) linkBusy() bool { return v.LinkBusy }

// share returns the share of VMs that have a property, 0 for no VMs.
func share(vms []VM, has func(VM) bool) float64 {
	count := 0
	for _, v := range vms {
		if has(v) {
			count++
		}
	}
	return float64(count) / float64(max(1, len(vms)))
}
