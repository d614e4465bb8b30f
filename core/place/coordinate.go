package place

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcuprill/core/instance"
	"kingcuprill/core/rendezvous"
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
// for targets with few slots per VM, and for targets that name a limit or are
// brittle.
func (p *Placer) NeedsCoordination(r Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Memory > 0 {
		return true
	}
	for _, t := range p.byService[r.Service] {
		if t.limit.Named || t.brittle.Named || t.slots() < sharedSlots*len(p.readyVMs) {
			return true
		}
	}
	return false
}

const (
	// targetsPerCoordinator is the number of targets that a coordinator has on
	// average.
	targetsPerCoordinator = 4
	// minCoordinators is the least number of coordinators of a region with as many
	// ready VMs, so that the loss of one concerns a part of the targets only.
	minCoordinators = 3
)

// chooseCoordinators sets the VMs of the region that coordinate its targets, by
// rendezvous hashing, and assigns the targets to them.
//
// With as many VMs as targets, each VM would coordinate one target. A request that
// asks a few coordinators would then be refused when their targets are full, though
// most others have room.
func (p *Placer) chooseCoordinators() {
	targets := 0
	for _, t := range p.targets {
		if t.Region == p.Region && t.State <= instance.Ready {
			targets++
		}
	}
	count := max(minCoordinators, (targets+targetsPerCoordinator-1)/targetsPerCoordinator)
	count = min(count, len(p.eligibleVMs))
	changed := len(p.coordinators) != count
	if changed {
		p.coordinators = rendezvous.Order(p.Region, p.eligibleVMs)[:count]
	}
	for _, t := range p.targets {
		if !changed && t.coordinator != "" {
			continue
		}
		before := t.coordinator
		p.assignCoordinator(t)
		if t.coordinator == p.Self && before != p.Self && before != "" {
			t.takenOver = time.Now()
		}
	}
}

// assignCoordinator sets the coordinator of a target: the one with the highest
// rendezvous weight.
func (p *Placer) assignCoordinator(t *Target) {
	highest := uint64(0)
	for _, id := range p.coordinators {
		if w := rank(id, t); w >= highest {
			t.coordinator, highest = id, w
		}
	}
}

// rank returns the rendezvous weight of a VM for a target.
func rank(vm string, t *Target) uint64 {
	return xxhash.Sum64String(vm + "\x00" + t.ID)
}

// TokenTimes returns the measured time per prompt token of the engines that this VM
// coordinates: the average, and that of the slowest one. Both are 0 before any measurement.
func (p *Placer) TokenTimes() (average, slowest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens, took := 0.0, time.Duration(0)
	for _, targets := range p.byService {
		for _, t := range targets {
			read, in := t.backlog.Speed.Measured()
			if t.coordinator != p.Self || read == 0 {
				continue
			}
			tokens, took = tokens+read, took+in
			slowest = max(slowest, time.Duration(float64(in)/read))
		}
	}
	if tokens > 0 {
		average = time.Duration(float64(took) / tokens)
	}
	return average, slowest
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
