package place

const (
	// slotsSlack lets one VM use more than its even part of a target's slots, as
	// load is not even.
	slotsSlack = 1.5
	// coordinatedSlack is the part of a target's slots that its coordinator
	// gives out. Those above one wait at the target, which goes on without a
	// pause when a slot falls free.
	coordinatedSlack = 1.1
	// plainSlack is the same for services without an engine, whose short calls
	// soon make room for those that wait.
	plainSlack = 2
	// coldSenders is the number of VMs of a region that may send to a cold
	// target, so that the sum over all VMs keeps to what it bears.
	coldSenders = 3
	// memoryShare is the part of an engine's memory that is filled.
	memoryShare = 0.9
	// defaultSlots holds where a target doesn't tell how much it runs at once.
	defaultSlots = 8
)

// hasRoom tells whether a target is within its bounds with one more request.
// The other VMs of the region are taken to load it as this one does, but for a
// target that this VM coordinates.
func (p *Placer) hasRoom(t *Target, r Request) bool {
	vms, slack := len(p.vms), slotsSlack
	switch {
	case r.Coordinated && r.Memory > 0:
		vms, slack = 1, coordinatedSlack
	case r.Coordinated:
		vms, slack = 1, plainSlack
	}
	if t.inFlight-t.lost(r.Now) >= max(1, int(slack*float64(t.slots()))/vms) {
		return false
	}
	need := r.Demand.Prompt + r.Demand.Output
	if r.Memory > 0 && t.inFlight > 0 && (t.memory+need)*vms > int(memoryShare*float64(r.Memory)) {
		return false
	}
	return !r.Now.Before(t.ColdUntil) || p.coldRoom(t, r)
}

// coldRoom tells whether this VM may send to a cold target now.
func (p *Placer) coldRoom(t *Target, r Request) bool {
	if r.ColdRate <= 0 {
		return true
	}
	if r.Now.Before(t.nextCold) {
		return false
	}
	own := rank(p.Self, t)
	before := 0
	for _, id := range p.known {
		if rank(id, t) > own {
			before++
		}
	}
	return before < coldSenders
}
