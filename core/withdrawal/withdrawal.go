// Package withdrawal holds the set of withdrawn (revoked) caller keys. The set
// only grows, so VMs can merge their sets in any order, any number of times and
// without a quorum, and all arrive at the same set (a grow-only set CRDT).
package withdrawal

import (
	"maps"
	"slices"
)

// Set is an immutable set of the ids of withdrawn keys.
type Set struct {
	ids map[string]struct{}
}

// New returns a set of key ids.
func New(ids ...string) *Set {
	s := &Set{ids: make(map[string]struct{}, len(ids))}
	for _, id := range ids {
		s.ids[id] = struct{}{}
	}
	return s
}

// Has tells whether a key is withdrawn.
func (s *Set) Has(id string) bool {
	_, found := s.ids[id]
	return found
}

// Len returns the number of withdrawn keys.
func (s *Set) Len() int {
	return len(s.ids)
}

// With returns the set with more keys, and those of them that were not in it
// yet. If there are none, it returns the same set and nil.
func (s *Set) With(ids ...string) (next *Set, added []string) {
	for _, id := range ids {
		if !s.Has(id) && !slices.Contains(added, id) {
			added = append(added, id)
		}
	}
	if len(added) == 0 {
		return s, nil
	}
	next = &Set{ids: maps.Clone(s.ids)}
	for _, id := range added {
		next.ids[id] = struct{}{}
	}
	return next, added
}

// IDs returns the ids of the withdrawn keys in ascending order.
func (s *Set) IDs() []string {
	return slices.Sorted(maps.Keys(s.ids))
}
