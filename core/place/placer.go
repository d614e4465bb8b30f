package place

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcuprill/core/instance"
)

const (
	// silentUseFor is how long a target without heartbeats still gets requests
	// after its last sign of life.
	silentUseFor = 10 * time.Second
	// goneFor is how long a target gets nothing after another one has answered at
	// its address. Its last heartbeats may still be on their way.
	goneFor = 10 * time.Second
	// silentPenalty is added for a target whose heartbeats are missing.
	silentPenalty = 2 * time.Second
	// strangerPenalty keeps a request at its rendezvous target as long as the
	// others are not faster by more.
	strangerPenalty = 4 * time.Millisecond
)

// Placer keeps the targets of this VM's region. It is safe for concurrent use.
type Placer struct {
	Self   string // this VM's id
	Region string

	mu      sync.Mutex
	targets map[string]*Target   // by id
	byName  map[string][]*Target // by service, of this region
	abroad  map[string][]*Target // by service, of the others
	usual   map[string]*slope    // by service
	vms     []string             // ready entry VMs of the region, this one included
	known   []string             // all entry VMs of the region, ready or not
}

// NewPlacer returns a placer without targets.
func NewPlacer(self, region string) *Placer {
	return &Placer{Self: self, Region: region, targets: map[string]*Target{}, usual: map[string]*slope{}, vms: []string{self}, known: []string{self}}
}

// SetVMs tells which entry VMs share the targets of this region: those that are
// ready, and all that are known. One that isn't ready here may be for others.
func (p *Placer) SetVMs(ready, known []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.vms
	p.vms, p.known = p.withSelf(ready), p.withSelf(known)
	if slices.Equal(before, p.vms) {
		return
	}
	for _, t := range p.targets {
		p.assign(t)
	}
}

// withSelf returns ids in order, with that of this VM.
func (p *Placer) withSelf(ids []string) []string {
	ids = slices.Clone(ids)
	if !slices.Contains(ids, p.Self) {
		ids = append(ids, p.Self)
	}
	slices.Sort(ids)
	return ids
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
			t = &Target{Registration: row, parts: map[string]part{}, waiting: map[*Visit]bool{}, streams: map[*Visit]bool{}}
			p.assign(t)
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
		slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	p.targets, p.byName, p.abroad = next, byName, abroad
}

// Pick chooses the target that is predicted to answer first and begins the
// request's stay there. Done must follow. Without a target, predicted tells how
// long the best would take, if there is any.
func (p *Placer) Pick(r Request) (visit *Visit, predicted time.Duration, reason Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	preferred := p.preferred(r)
	source := p.source(r, preferred)
	if preferred != nil && p.hasRoom(preferred, r) && preferred.Circuit.Closed() && !(r.long() && preferred.strained(r.Now)) {
		_, predicted = p.cost(preferred, r, true, source)
		if predicted <= r.Comfort {
			return p.enter(preferred, r, true, source), predicted, ""
		}
	}
	best, predicted, reason := p.fastest(r, preferred, source)
	switch {
	case best == nil:
		return nil, predicted, reason
	case r.Bound > 0 && predicted > r.Bound && best.inFlight > 0:
		return nil, predicted, Slow
	case !best.Circuit.Allow():
		return nil, predicted, Full
	}
	return p.enter(best, r, best == preferred, source), predicted, ""
}

// fastest returns the target with the least cost among those that may take the
// request. Without one it tells the reason.
func (p *Placer) fastest(r Request, preferred, source *Target) (best *Target, predicted time.Duration, reason Reason) {
	reason = NoTargets
	lowest := time.Duration(0)
	for _, t := range p.byName[r.Service] {
		if !p.eligible(t, r, preferred) {
			continue
		}
		if !p.hasRoom(t, r) || !t.Circuit.Ready() {
			reason = Full
			continue
		}
		if r.long() && t.strained(r.Now) {
			reason = Slow
			continue
		}
		cost, first := p.cost(t, r, t == preferred, source)
		if best == nil || cost < lowest {
			best, lowest, predicted = t, cost, first
		}
	}
	return best, predicted, reason
}

// eligible tells whether a target may take the request, leaving its load aside.
func (p *Placer) eligible(t *Target, r Request, preferred *Target) bool {
	if !t.usable(r.Now) || r.Evacuated[t.DataCentre] || slices.Contains(r.Excluded, t.ID) {
		return false
	}
	return !r.Coordinated || t.coordinator == p.Self || t == preferred
}

// preferred returns the rendezvous target of the last shared part of a prompt.
func (p *Placer) preferred(r Request) (best *Target) {
	if r.Preferred != "" {
		if t := p.targets[r.Preferred]; t != nil && t.Region == p.Region && p.mayPrefer(t, r) {
			return t
		}
		return nil
	}
	if !r.Sticky || len(r.Demand.Parts) == 0 {
		return nil
	}
	shared := r.Demand.shared()
	weight := uint64(0)
	for _, t := range p.byName[r.Service] {
		if !p.mayPrefer(t, r) {
			continue
		}
		if w := xxhash.Sum64String(shared + "\x00" + t.ID); w >= weight {
			best, weight = t, w
		}
	}
	return best
}

// mayPrefer tells whether a target may be the preferred one of a request.
func (p *Placer) mayPrefer(t *Target, r Request) bool {
	if !t.usable(r.Now) || t.State == instance.Silent || r.Evacuated[t.DataCentre] || r.Now.Before(t.ColdUntil) {
		return false
	}
	return !slices.Contains(r.Excluded, t.ID)
}

// cost returns how long a target is predicted to take, and that with what
// speaks against it.
func (p *Placer) cost(t *Target, r Request, preferred bool, source *Target) (cost, predicted time.Duration) {
	predicted = t.predict(t.work(r, preferred || t.fetches(r, source)), p.slope(r.Service), r.Now)
	cost = predicted
	if !preferred {
		cost += strangerPenalty
	}
	if t.State == instance.Silent {
		cost += silentPenalty
	}
	return cost, predicted
}

func (p *Placer) slope(service string) *slope {
	usual, found := p.usual[service]
	if !found {
		usual = &slope{base: startBase}
		p.usual[service] = usual
	}
	return usual
}

// work returns the prompt tokens that a target has to read. All VMs of the
// region send the shared parts of a prompt to its preferred target, which is
// taken to have read them; others may fetch them.
func (t *Target) work(r Request, shared bool) int {
	work := t.uncached(r.Demand)
	if shared && len(r.Demand.Parts) > 1 {
		own := r.Demand.Prompt
		for _, part := range r.Demand.Parts[:len(r.Demand.Parts)-1] {
			own -= part.Tokens
		}
		work = min(work, max(0, own))
	}
	if r.Demand.Prompt == 0 {
		work = plainWork
	}
	return work
}

func (p *Placer) enter(t *Target, r Request, preferred bool, source *Target) *Visit {
	fetches := t.fetches(r, source)
	work := t.work(r, preferred || fetches)
	v := &Visit{
		Target: t, id: t.ID, address: t.Address, placer: p, service: r.Service, demand: r.Demand, work: work, ahead: t.pending + work, begun: r.Now,
		predicted: t.predict(work, p.slope(r.Service), r.Now),
		deadline:  r.Deadline,
	}
	if fetches {
		v.source = source.Address
	}
	if r.EventTokens > 0 {
		v.expected = r.Demand.Expected/r.EventTokens + 1
	}
	t.inFlight++
	t.pending += work
	t.waiting[v] = true
	t.memory += r.Demand.Prompt + r.Demand.Output
	if r.Sticky {
		t.remember(r.Demand, r.Memory, r.Now)
	}
	if r.Now.Before(t.ColdUntil) && r.ColdRate > 0 {
		senders := float64(min(len(p.known), coldSenders))
		t.nextCold = r.Now.Add(time.Duration(senders / r.ColdRate * float64(time.Second)))
	}
	return v
}

// Gone tells that another target answers at the address of one.
func (p *Placer) Gone(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, found := p.targets[id]; found {
		t.goneUntil = now.Add(goneFor)
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
		shared = r.Demand.shared()
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
