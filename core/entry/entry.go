// Package entry holds what entry VMs tell of themselves, and which of them a
// caller is sent to.
package entry

import (
	"maps"
	"slices"
	"time"
)

// VM is an entry VM as it describes itself.
type VM struct {
	ID            string
	Region        string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	Ready         bool
}

// Seen is an entry VM and when it was last heard.
type Seen struct {
	VM
	At time.Time
}

// MaxAddresses bounds an answer of the directory.
const MaxAddresses = 64

// Directory is what an answer to a caller depends on.
type Directory struct {
	VMs []VM
	// Abroad tells that VMs of other regions may be named. One that has just
	// started or is cut off hears of few entry VMs and can't know that there is
	// none in a region.
	Abroad bool
	// Homes counts the routes and organisations that must be served in a region
	// and its like.
	Homes func(region string) int
}

// Resolve returns the caller addresses that a caller of a region should use:
// those of its region. Where none is ready there, it returns those of the
// region that may serve most of what is bound to regions.
func (d Directory) Resolve(region string) (addresses []string) {
	addresses = d.ready(func(v VM) bool { return v.Region == region })
	if len(addresses) == 0 && d.Abroad {
		best := d.bestRegion()
		addresses = d.ready(func(v VM) bool { return v.Region == best })
	}
	slices.Sort(addresses)
	return addresses[:min(len(addresses), MaxAddresses)]
}

func (d Directory) ready(wanted func(VM) bool) (addresses []string) {
	for _, v := range d.VMs {
		if v.Ready && v.CallerAddress != "" && wanted(v) {
			addresses = append(addresses, v.CallerAddress)
		}
	}
	return addresses
}

// bestRegion returns the region with a ready VM that most homes name.
func (d Directory) bestRegion() (best string) {
	counted := map[string]int{}
	most := -1
	for _, v := range d.VMs {
		if !v.Ready {
			continue
		}
		if _, done := counted[v.Region]; !done {
			counted[v.Region] = d.Homes(v.Region)
		}
		if counted[v.Region] > most {
			best, most = v.Region, counted[v.Region]
		}
	}
	return best
}

// Union returns every VM that any of several control VMs tells of. It is ready
// if any of them says so.
func Union(views map[string]map[string]VM) []VM {
	all := map[string]VM{}
	for _, rows := range views {
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
