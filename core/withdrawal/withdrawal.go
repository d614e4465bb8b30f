// Package withdrawal holds the keys withdrawn so far. The set only grows, so
// that VMs can merge what they know in any order and without a majority.
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

// With returns the set with more keys, and the keys that were new.
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

// IDs returns the withdrawn keys in order.
func (s *Set) IDs() []string {
	return slices.Sorted(maps.Keys(s.ids))
}
