// Package entry describes the entry VMs and resolves a caller's region to the
// addresses of the entry VMs that it should connect to.
package entry

import (
	"cmp"
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
	CallerAddress string // host:port for callers; empty if the VM accepts no connections of them
	PeerAddress   string // host:port for other VMs
	// Ready says that callers should be sent to the VM. One that isn't ready and has an
	// address for callers makes a planned stop.
	Ready bool
	// WithoutTargets says that the VM reaches no target of its region itself.
	WithoutTargets bool
	LinkRate       float64 // of its network link, bytes per second; 0 if it isn't known
	LinkBusy       bool    // the link has no room for requests of other VMs
	LinkFull       bool    // nor for all requests of callers
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
	// SpreadCallers lets regions with room help one whose links are full.
	SpreadCallers bool
	// HomeCount returns how many routes and organisations have a region among their
	// home regions, the only ones that may serve them.
	HomeCount func(region string) int
	// Stops are the planned stops of these VMs.
	Stops *Stops
}

// Resolve returns the addresses that a caller of a region should use, sorted, at
// most MaxAddresses. They belong to the ready VMs of that region. If it has none
// and other regions are allowed, they belong to another region that is a home region
// of at least as many routes and organisations. Such a region also helps out one whose
// links are busy.
//
// If there are no such VMs either, they belong to VMs that make a planned stop and
// still accept connections. Other regions come last, as they would refuse requests
// that the caller's region may serve, and not while VMs of that region are about to
// be ready again.
func (d Directory) Resolve(region string) (addresses []string) {
	for _, vms := range [][]VM{d.ready(), d.Stops.Accepting()} {
		if addresses = d.serving(vms, region); len(addresses) > 0 {
			return d.withHelp(addresses, vms, region)
		}
		if addresses = d.others(vms, d.HomeCount(region)); len(addresses) > 0 {
			return addresses
		}
	}
	if d.Stops.Returning(region) {
		return nil
	}
	return d.others(d.ready(), 0)
}

func (d Directory) ready() (vms []VM) {
	for _, v := range d.VMs {
		if v.Ready && v.CallerAddress != "" {
			vms = append(vms, v)
		}
	}
	return vms
}

// serving returns the addresses of those of some VMs that serve callers of a region.
func (d Directory) serving(vms []VM, region string) (addresses []string) {
	return addressesOf(serving(vms, region))
}

// others returns the addresses of those of some VMs that belong to the region with the
// highest count of homes. There are none if that is below the least, or if other
// regions aren't allowed.
func (d Directory) others(vms []VM, least int) (addresses []string) {
	if !d.AllowOtherRegions {
		return nil
	}
	best, highest := d.bestRegion(vms)
	if highest < least {
		return nil
	}
	return d.serving(vms, best)
}

// Serving returns the ready VMs of a region that take requests of callers, at most
// MaxAddresses. If there are more, those that are the first to coordinate targets are
// left out: reservations alone take a large part of a VM's link at a peak.
func Serving(vms []VM, region string) []VM {
	return serving(slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return !v.Ready }), region)
}

func serving(vms []VM, region string) (chosen []VM) {
	byID := map[string]VM{}
	for _, v := range vms {
		if v.Region == region {
			byID[v.ID] = v
		}
	}
	coordinators := rendezvous.Order(region, slices.Sorted(maps.Keys(byID)))
	for _, id := range coordinators[max(0, len(coordinators)-MaxAddresses):] {
		chosen = append(chosen, byID[id])
	}
	return chosen
}

// bestRegion returns the region of some VMs with the highest count of homes. The count
// is -1 if there are no VMs.
func (d Directory) bestRegion(vms []VM) (best string, highest int) {
	homes := map[string]int{}
	highest = -1
	for _, v := range vms {
		if _, known := homes[v.Region]; !known {
			homes[v.Region] = d.HomeCount(v.Region)
		}
		if homes[v.Region] > highest {
			best, highest = v.Region, homes[v.Region]
		}
	}
	return best, highest
}

// Report is what a control VM says of the entry VMs.
type Report struct {
	VMs map[string]VM // by id
	// Silent says that the control VM doesn't answer any more. It can't have heard what
	// has happened since.
	Silent bool
}

// Union returns every VM that any control VM reports, ordered by ID. Reports are keyed
// by control VM. A VM is ready, or accepts connections, if any report says so. Those of
// silent control VMs count only for VMs that no other one reports.
func Union(reports map[string]Report) []VM {
	all, late := map[string]VM{}, map[string]VM{}
	for _, report := range reports {
		if report.Silent {
			merge(late, report.VMs)
		} else {
			merge(all, report.VMs)
		}
	}
	for id, row := range late {
		if _, found := all[id]; !found {
			all[id] = row
		}
	}
	ids := slices.Sorted(maps.Keys(all))
	vms := make([]VM, 0, len(ids))
	for _, id := range ids {
		vms = append(vms, all[id])
	}
	return vms
}

func merge(all, rows map[string]VM) {
	for _, row := range rows {
		if known, found := all[row.ID]; found {
			row.Ready = row.Ready || known.Ready
			row.CallerAddress = cmp.Or(row.CallerAddress, known.CallerAddress)
		}
		all[row.ID] = row
	}
}
