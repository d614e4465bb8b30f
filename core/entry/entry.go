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
// regions that may serve most of what is bound to regions.
func (d Directory) Resolve(region string) (addresses []string) {
	most := -1
	var far []string
	for _, v := range d.VMs {
		if !v.Ready || v.CallerAddress == "" {
			continue
		}
		if v.Region == region {
			addresses = append(addresses, v.CallerAddress)
			continue
		}
		homes := d.Homes(v.Region)
		if homes > most {
			most, far = homes, nil
		}
		if homes == most {
			far = append(far, v.CallerAddress)
		}
	}
	if len(addresses) == 0 && d.Abroad {
		addresses = far
	}
	slices.Sort(addresses)
	return addresses[:min(len(addresses), MaxAddresses)]
}

// Union returns every VM that any of several control VMs tells of. It is ready
// if any of them says so.
func Union(views map[string][]VM) []VM {
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
