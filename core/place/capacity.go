package place

const (
	// slotsSlack is the multiple of its even share of a target's slots that a VM
	// may use, as load isn't spread evenly over the VMs.
	slotsSlack = 1.5
	// coordinatedSlack is the multiple of a target's slots up to which its
	// coordinator admits requests. Requests beyond the slots queue at the target,
	// so that it isn't idle when a slot becomes free.
	coordinatedSlack = 1.1
	// plainSlack is coordinatedSlack for services without an engine, whose calls
	// are short, so that queued ones start soon.
	plainSlack = 2
	// coldSenders is the number of VMs of a region that may send to a cold
	// target, so that the sum over all VMs stays within the rate it can take.
	coldSenders = 3
	// memoryShare is the share of an engine's KV memory that requests may fill.
	memoryShare = 0.9
	// keptForUrgent is the part of an engine's slots and KV memory that less urgent requests
	// leave free where all other work is more urgent.
	keptForUrgent = 0.3
	// defaultSlots is used for a target that doesn't report its slots.
	defaultSlots = 8
)

// hasCapacity reports whether a target stays within its bounds on requests and KV
// memory with one more request. The bound on memory doesn't apply to the only
// request of this VM there, so that one larger than the bound can run. Unless this
// VM coordinates the target, the other VMs of the region are assumed to load it as
// this one does.
func (p *Placer) hasCapacity(t *Target, r Request) bool {
	if t.brittle.Named && !p.hasBrittleCapacity(t, r.Now) {
		return false
	}
	vms, slack := len(p.readyVMs), slotsSlack
	switch {
	case r.Coordinated && r.Memory > 0:
		vms, slack = 1, coordinatedSlack
	case r.Coordinated:
		vms, slack = 1, plainSlack
	}
	usable := p.usableShare(t, r)
	if t.inFlight-t.lost(r.Now) >= max(1, int(usable*slack*float64(t.slots()))/vms) {
		return false
	}
	if r.Memory > 0 && t.inFlight > 0 && (t.memory.tokens+t.memory.need(r.Demand))*vms > int(usable*memoryShare*float64(r.Memory)) {
		return false
	}
	return !r.Now.Before(p.coldUntil(t)) || p.hasColdCapacity(t, r)
}

// usableShare returns the part of a target's slots and KV memory that a request may use.
//
// Long answers hold both for seconds. While less urgent ones had taken all of them, urgent
// requests were refused, though the engine would have served these first.
func (p *Placer) usableShare(t *Target, r Request) float64 {
	if !p.ByRank || r.Memory == 0 {
		return 1
	}
	return 1 - keptForUrgent*t.backlog.UrgentShare(p.rank(r), r.Now)
}

// hasColdCapacity reports whether this VM may send to a cold target now.
func (p *Placer) hasColdCapacity(t *Target, r Request) bool {
	if r.ColdRate <= 0 {
		return true
	}
	if r.Now.Before(t.nextCold) {
		return false
	}
	own := rank(p.Self, t)
	before := 0
	for _, id := range p.allVMs {
		if rank(id, t) > own {
			before++
		}
	}
	return before < coldSenders
}
