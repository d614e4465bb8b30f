package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a target that may serve a request, and the VM that coordinates it.
type Candidate struct {
	Target string
	VM     string
}

// Candidates returns up to limit targets for a request, in the order of
// rendezvous hashing over its shared prompt part, each with a different
// coordinator.
//
// With many VMs and targets with few slots, no VM sees how the others load a
// target, so that some targets are overloaded while others have free slots.
// Therefore one VM coordinates each target and knows its whole load; the others
// reserve a slot through it.
func (p *Placer) Candidates(r Request, limit int) (found []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	type weighted struct {
		target *Target
		weight uint64
	}
	var usable []weighted
	prefix := r.affinity() + "\x00"
	for _, t := range p.byService[r.Service] {
		if !p.mayPrefer(t, r) {
			continue
		}
		usable = append(usable, weighted{target: t, weight: xxhash.Sum64String(prefix + t.ID)})
	}
	for len(found) < limit && len(usable) > 0 {
		best := 0
		for i, u := range usable {
			if u.weight > usable[best].weight {
				best = i
			}
		}
		vm := usable[best].target.coordinator
		found = append(found, Candidate{Target: usable[best].target.ID, VM: vm})
		usable = slices.DeleteFunc(usable, func(u weighted) bool { return u.target.coordinator == vm })
	}
	return found
}

// sharedSlots is the number of slots per VM below which VMs that select targets
// independently load them unevenly.
const sharedSlots = 2

// NeedsCoordination reports whether requests of a service must go through the
// coordinators of its targets. They must for engines, whose KV memory all VMs use,
// and for targets with few slots per VM.
func (p *Placer) NeedsCoordination(r Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Memory > 0 {
		return true
	}
	for _, t := range p.byService[r.Service] {
		if t.slots() < sharedSlots*len(p.readyVMs) {
			return true
		}
	}
	return false
}

// assignCoordinator sets the coordinator of a target: the ready VM of the region
// with the highest rendezvous weight.
func (p *Placer) assignCoordinator(t *Target) {
	highest := uint64(0)
	for _, id := range p.readyVMs {
		if w := rank(id, t); w >= highest {
			t.coordinator, highest = id, w
		}
	}
}

// rank returns the rendezvous weight of a VM for a target.
func rank(vm string, t *Target) uint64 {
	return xxhash.Sum64String(vm + "\x00" + t.ID)
}

// Coordinated returns the number of targets in the region that this VM
// coordinates.
func (p *Placer) Coordinated() (count int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, targets := range p.byService {
		for _, t := range targets {
			if t.coordinator == p.Self {
				count++
			}
		}
	}
	return count
}
