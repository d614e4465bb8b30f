package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a target that a request prefers, and the VM that coordinates it.
type Candidate struct {
	Target string
	VM     string
}

// Candidates returns targets for a request, the one first that rendezvous
// hashing gives its shared prompt part to. Each has another coordinator.
//
// The load pattern it answers: many VMs before targets with few slots. None of
// them sees how the others fill a target, so that some targets are overrun
// while others have room. One VM coordinates each target and knows all of its
// load; the others ask it for a place.
func (p *Placer) Candidates(r Request, most int) (found []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	type weighed struct {
		target *Target
		weight uint64
	}
	var usable []weighed
	prefix := r.affinity() + "\x00"
	for _, t := range p.byName[r.Service] {
		if !p.mayPrefer(t, r) {
			continue
		}
		usable = append(usable, weighed{target: t, weight: xxhash.Sum64String(prefix + t.ID)})
	}
	for len(found) < most && len(usable) > 0 {
		best := 0
		for i, u := range usable {
			if u.weight > usable[best].weight {
				best = i
			}
		}
		vm := usable[best].target.coordinator
		found = append(found, Candidate{Target: usable[best].target.ID, VM: vm})
		usable = slices.DeleteFunc(usable, func(u weighed) bool { return u.target.coordinator == vm })
	}
	return found
}

// sharedSlots is the number of slots for each VM below which VMs that choose by
// themselves fill a target unevenly.
const sharedSlots = 2

// Shared tells whether the load of a service's targets is to be coordinated: an
// engine's memory is filled by all VMs, and so are targets with few slots.
func (p *Placer) Shared(r Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Memory > 0 {
		return true
	}
	for _, t := range p.byName[r.Service] {
		if t.slots() < sharedSlots*len(p.vms) {
			return true
		}
	}
	return false
}

// assign finds the coordinator of a target: the ready VM of the region that
// rendezvous hashing gives it to.
func (p *Placer) assign(t *Target) {
	highest := uint64(0)
	for _, id := range p.vms {
		if w := rank(id, t); w >= highest {
			t.coordinator, highest = id, w
		}
	}
}

// rank orders the VMs of a region for a target.
func rank(vm string, t *Target) uint64 {
	return xxhash.Sum64String(vm + "\x00" + t.ID)
}

// Coordinated counts the targets that this VM coordinates.
func (p *Placer) Coordinated() (count int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, targets := range p.byName {
		for _, t := range targets {
			if t.coordinator == p.Self {
				count++
			}
		}
	}
	return count
}
