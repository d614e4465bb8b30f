package entry

import "github.com/cespare/xxhash/v2"

// Partner returns the ready VM of a region to which a VM forwards requests: the one
// with the highest rendezvous weight among those that aren't excluded. found is false
// if there is none.
//
// A VM forwards to the same partner as long as it can, so that its requests reuse
// connections. To VMs chosen at random among a hundred, nearly each request would open
// a connection, which takes a second round trip between regions.
func Partner(self string, vms []VM, region string, excluded func(v VM) bool) (partner VM, found bool) {
	highest := uint64(0)
	for _, v := range Serving(vms, region) {
		if excluded(v) {
			continue
		}
		if w := xxhash.Sum64String(self + "\x00" + v.ID); !found || w > highest {
			partner, highest, found = v, w, true
		}
	}
	return partner, found
}
