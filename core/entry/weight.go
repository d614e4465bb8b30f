package entry

import (
	"math"
	"slices"
)

// maxWeight bounds how often one VM is named in an answer of the directory.
const maxWeight = 4

// addressesOf returns the addresses of VMs, sorted. Callers choose among them at random. A VM
// whose link is several times as fast as the slowest one is named as many times, as long as
// MaxAddresses allows: at a peak, even shares would fill the slow links first.
func addressesOf(vms []VM) (addresses []string) {
	slowest := slowestLink(vms)
	total := 0
	for _, v := range vms {
		total += v.weight(slowest)
	}
	for _, v := range vms {
		times := 1
		if total <= MaxAddresses {
			times = v.weight(slowest)
		}
		for range times {
			addresses = append(addresses, v.CallerAddress)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// slowestLink returns the lowest rate of the links that are known, 0 if none is.
func slowestLink(vms []VM) (slowest float64) {
	for _, v := range vms {
		if v.LinkRate > 0 && (slowest == 0 || v.LinkRate < slowest) {
			slowest = v.LinkRate
		}
	}
	return slowest
}

// weight returns how often the VM should be named, 1 if its link isn't known.
func (v VM) weight(slowest float64) int {
	if v.LinkRate <= 0 || slowest <= 0 {
		return 1
	}
	return min(int(math.Round(v.LinkRate/slowest)), maxWeight)
}
