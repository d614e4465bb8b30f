// Package rendezvous implements rendezvous hashing (highest random weight): it
// orders VMs for a name so that all callers with the same VMs get the same order,
// and a change of the set of VMs moves as few names as possible.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidate is a VM with its weight for a name.
type candidate struct {
	ID     string
	weight uint64
}

// Order returns the ids sorted by their weight for the name, highest first.
func Order(name string, ids []string) []string {
	candidates := make([]candidate, 0, len(ids))
	for _, id := range ids {
		candidates = append(candidates, candidate{ID: id, weight: weight(name, id)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	ordered := make([]string, 0, len(ids))
	for _, c := range candidates {
		ordered = append(ordered, c.ID)
	}
	return ordered
}

func weight(name, id string) uint64 {
	return xxhash.Sum64String(name + "\x00" + id)
}
