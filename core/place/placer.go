package place

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcuprill/core/instance"
)

const (
	// silentUseFor is how long a target without heartbeats still gets requests
	// after its last sign of life.
	silentUseFor = 10 * time.Second
	// runningTokens is the cost of one running request beside a new one, in
	// prompt tokens that take as long to read.
	runningTokens = 120
	// strangerTokens keeps a request at its rendezvous target as long as
	// backlogs differ by less.
	strangerTokens = 400
	// silentTokens is added for a target whose heartbeats are missing.
	silentTokens = 1 << 19
	// coldSenders is the number of VMs of a region that may send to a cold
	// target, so that the sum over all VMs keeps to what it bears.
	coldSenders = 3
	// memoryShare is the part of an engine's memory that is filled.
	memoryShare = 0.9
	// defaultSlots holds where a target doesn't tell how much it runs at once.
	defaultSlots = 8
)

// Request is what the placer needs to know of a request.
type Request struct {
	Service   string
	Demand    Demand
	Sticky    bool
	Excluded  []string // ids of targets that were tried
	ColdRate  float64  // requests a second that a cold target bears
	Memory    int      // tokens of a target's engine, 0 where it has no bound
	Evacuated map[string]bool
	Now       time.Time
}

// Reason tells why no target was chosen.
type Reason string

// Reasons.
const (
	NoTargets Reason = "no_targets" // none that may be used is known
	Full      Reason = "full"       // all are at their bounds
)

// Placer keeps the targets of this VM's region. It is safe for concurrent use.
type Placer struct {
	Self   string // this VM's id
	Region string

	mu      sync.Mutex
	targets map[string]*Target   // by id
	byName  map[string][]*Target // by service, of this region
	abroad  map[string][]*Target // by service, of the others
	vms     []string             // entry VMs of the region, this one included
}

// NewPlacer returns a placer without targets.
func NewPlacer(self, region string) *Placer {
	return &Placer{Self: self, Region: region, targets: map[string]*Target{}, vms: []string{self}}
}

// SetVMs tells which entry VMs share the targets of this region.
func (p *Placer) SetVMs(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = ids
	if !slices.Contains(ids, p.Self) {
		p.vms = append(slices.Clone(ids), p.Self)
	}
}

// SetTargets replaces the targets. What is known of the load of one that stays
// is kept.
func (p *Placer) SetTargets(rows map[string]instance.Registration, region func(dataCentre string) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*Target, len(rows))
	byName, abroad := map[string][]*Target{}, map[string][]*Target{}
	for id, row := range rows {
		t, found := p.targets[id]
		if !found || t.Born != row.Born {
			t = &Target{parts: map[string]part{}}
		}
		t.Registration, t.Region = row, region(row.DataCentre)
		next[id] = t
		if t.Region == p.Region {
			byName[row.Service] = append(byName[row.Service], t)
		} else {
			abroad[row.Service] = append(abroad[row.Service], t)
		}
	}
	for _, targets := range byName {
		slices.SortFunc(targets, func(a, b *Target) int { return compareStrings(a.ID, b.ID) })
	}
	p.targets, p.byName, p.abroad = next, byName, abroad
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Pick chooses a target and begins the request's stay there. Done must follow.
func (p *Placer) Pick(r Request) (visit *Visit, reason Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reason = NoTargets
	var best *Target
	lowest := 0
	preferred := p.preferred(r)
	for _, t := range p.byName[r.Service] {
		if !t.usable(r.Now) || r.Evacuated[t.DataCentre] || slices.Contains(r.Excluded, t.ID) {
			continue
		}
		if !p.hasRoom(t, r) || !t.Circuit.Ready() {
			reason = Full
			continue
		}
		cost := p.cost(t, r, t == preferred)
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	if best == nil || !best.Circuit.Allow() {
		return nil, reason
	}
	return p.enter(best, r), ""
}

// preferred returns the rendezvous target of the last shared part of a prompt.
func (p *Placer) preferred(r Request) (best *Target) {
	if !r.Sticky || len(r.Demand.Parts) == 0 {
		return nil
	}
	shared := r.Demand.Parts[max(0, len(r.Demand.Parts)-2)].ID
	weight := uint64(0)
	for _, t := range p.byName[r.Service] {
		if !t.usable(r.Now) || r.Evacuated[t.DataCentre] || r.Now.Before(t.ColdUntil) {
			continue
		}
		if w := xxhash.Sum64String(shared + "\x00" + t.ID); w >= weight {
			best, weight = t, w
		}
	}
	return best
}

// hasRoom tells whether a target is within its bounds with one more request.
// The other VMs of the region are taken to load it as this one does.
func (p *Placer) hasRoom(t *Target, r Request) bool {
	vms := len(p.vms)
	slots := t.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	if t.inFlight >= max(1, (slots+vms-1)/vms) {
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
	own := xxhash.Sum64String(p.Self + "\x00" + t.ID)
	before := 0
	for _, id := range p.vms {
		if xxhash.Sum64String(id+"\x00"+t.ID) > own {
			before++
		}
	}
	return before < coldSenders
}

func (p *Placer) cost(t *Target, r Request, preferred bool) int {
	cost := t.pending + t.inFlight*runningTokens
	if r.Sticky {
		cost += t.uncached(r.Demand)
	}
	if !preferred {
		cost += strangerTokens
	}
	if t.State == instance.Silent {
		cost += silentTokens
	}
	return cost
}

func (p *Placer) enter(t *Target, r Request) *Visit {
	v := &Visit{Target: t, placer: p, demand: r.Demand, pending: t.uncached(r.Demand)}
	t.inFlight++
	t.pending += v.pending
	t.memory += r.Demand.Prompt + r.Demand.Output
	if r.Sticky {
		t.remember(r.Demand, r.Memory, r.Now)
	}
	if r.Now.Before(t.ColdUntil) && r.ColdRate > 0 {
		senders := float64(min(len(p.vms), coldSenders))
		t.nextCold = r.Now.Add(time.Duration(senders / r.ColdRate * float64(time.Second)))
	}
	return v
}

// Visit is a request's stay at a target.
type Visit struct {
	Target *Target

	placer   *Placer
	demand   Demand
	pending  int // prompt tokens that the target has to read
	answered bool
}

// Answered tells that the prompt has been read: the first answer has come.
func (v *Visit) Answered() {
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	v.answer()
}

func (v *Visit) answer() {
	if !v.answered {
		v.answered = true
		v.Target.pending = max(0, v.Target.pending-v.pending)
	}
}

// Done ends the stay. ok tells that the target did its work.
func (v *Visit) Done(ok bool, now time.Time) {
	v.placer.mu.Lock()
	defer v.placer.mu.Unlock()
	v.answer()
	v.Target.inFlight--
	v.Target.memory -= v.demand.Prompt + v.demand.Output
	if ok {
		v.Target.lastOK = now
	}
}

// Knows tells whether a target is still known.
func (p *Placer) Knows(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.targets[id]
	return found
}

// Regions orders the other regions in which a request could run: the one that
// rendezvous hashing gives its shared prompt part to comes first, so that all
// VMs send a part to the same region; larger regions get more.
func (p *Placer) Regions(r Request) (regions []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared := r.Service
	if len(r.Demand.Parts) > 0 {
		shared = r.Demand.Parts[max(0, len(r.Demand.Parts)-2)].ID
	}
	best := map[string]uint64{}
	for _, t := range p.abroad[r.Service] {
		if t.usable(r.Now) && !r.Evacuated[t.DataCentre] && !r.Now.Before(t.ColdUntil) {
			best[t.Region] = max(best[t.Region], xxhash.Sum64String(shared+"\x00"+t.ID))
		}
	}
	for region := range best {
		regions = append(regions, region)
	}
	slices.SortFunc(regions, func(a, b string) int {
		if best[a] > best[b] {
			return -1
		}
		return 1
	})
	return regions
}
