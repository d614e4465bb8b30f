// Package entry describes the entry VMs and resolves a caller's region to the
// addresses of the entry VMs that it should connect to.
package entry

import (
	"maps"
	"slices"
	"time"

	"kingcuprill/core/rendezvous"
)

// VM is an entry VM as it reports itself to the control VMs.
type VM struct {
	ID            string
	Region        string
	DataCentre    string
	CallerAddress string // host:port for callers
	PeerAddress   string // host:port for other VMs
	Ready         bool
	// WithoutTargets says that the VM reaches no target of its region itself.
	WithoutTargets bool
}

// Seen is an entry VM and the time of its last report.
type Seen struct {
	VM
	At time.Time
}

// MaxAddresses is the largest number of addresses in an answer of the directory.
const MaxAddresses = 64

// Directory is the state from which callers get their addresses.
type Directory struct {
	VMs []VM
	// AllowOtherRegions allows an answer with VMs of another region. It is false
	// on a VM that has just started or is cut off: it has heard of few entry VMs
	// and can't know that a region has none.
	AllowOtherRegions bool
	// HomeCount returns how many routes and organisations have a region among their
	// home regions, the only ones that may serve them.
	HomeCount func(region string) int
}

// Resolve returns the addresses that a caller of a region should use, sorted, at
// most MaxAddresses. They belong to the ready VMs of that region. If it has none
// and other regions are allowed, they belong to the region with a ready VM that
// is a home region of the most routes and organisations.
func (d Directory) Resolve(region string) (addresses []string) {
	addresses = d.ready(region)
	if len(addresses) == 0 && d.AllowOtherRegions {
		addresses = d.ready(d.bestRegion())
	}
	slices.Sort(addresses)
	return addresses
}

func (d Directory) ready(region string) (addresses []string) {
	for _, v := range Serving(d.VMs, region) {
		if v.CallerAddress != "" {
			addresses = append(addresses, v.CallerAddress)
		}
	}
	return addresses
}

// Serving returns the ready VMs of a region that take requests of callers, at most
// MaxAddresses. If there are more, those that are the first to coordinate targets are
// left out: reservations alone take a large part of a VM's link at a peak.
func Serving(vms []VM, region string) (serving []VM) {
	byID := map[string]VM{}
	for _, v := range vms {
		if v.Ready && v.Region == region {
			byID[v.ID] = v
		}
	}
	coordinators := rendezvous.Order(region, slices.Sorted(maps.Keys(byID)))
	for _, id := range coordinators[max(0, len(coordinators)-MaxAddresses):] {
		serving = append(serving, byID[id])
	}
	return serving
}

// bestRegion returns the region with the highest count of homes among those with a
// ready VM.
func (d Directory) bestRegion() (best string) {
	homes := map[string]int{}
	highest := -1
	for _, v := range d.VMs {
		if !v.Ready {
			continue
		}
		if _, known := homes[v.Region]; !known {
			homes[v.Region] = d.HomeCount(v.Region)
		}
		if homes[v.Region] > highest {
			best, highest = v.Region, homes[v.Region]
		}
	}
	return best
}

// Union returns every VM that any control VM reports, ordered by ID. Reports are
// keyed by control VM, then by entry VM. A VM is ready if any report says so.
func Union(reports map[string]map[string]VM) []VM {
	all := map[string]VM{}
	for _, rows := range reports {
		for _, row := range rows {
			if known, found := all[row.ID]; found {
				row.Ready = row.Ready || known.Ready
			}
			all[row.ID] = row
		}
	}
	ids := slices.Sorted(maps.Keys(all))
	vms := make([]VM, 0, len(ids))
	for _, id := range ids {
		vms = append(vms, all[id])
	}
	return vms
}
