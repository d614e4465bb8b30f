package place

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcuprill/core/backlog"
	"kingcuprill/core/instance"
	"kingcuprill/core/retry"
	"kingcuprill/core/units"
)

const (
	// silentGrace is how long a target without heartbeats still gets requests
	// after its last heartbeat or success.
	silentGrace = 10 * time.Second
	// displacedFor is how long a target gets no requests after another one has
	// answered at its address. Its last heartbeats may still be in transit.
	displacedFor = 10 * time.Second
	// silentPenalty is the cost added for a target whose heartbeats are missing.
	silentPenalty = 2 * time.Second
	// nonPreferredPenalty is the cost added for other targets than the preferred
	// one, so that a request leaves it only for a larger gain.
	nonPreferredPenalty = 4 * time.Millisecond
)

// Placer selects among the targets of this VM's region and tracks their load. It
// is safe for concurrent use.
type Placer struct {
	Self   string // this VM's id
	Region string
	// Retries bounds the retries of the services that this VM coordinates. It must be
	// set before the first use.
	Retries Retries
	// ByRank says that engines serve more urgent requests first, and that predictions take
	// that into account. It must be set before the first use.
	ByRank bool

	started time.Time

	mu           sync.Mutex
	targets      map[string]*Target       // by id
	byService    map[string][]*Target     // by service, in this region
	remote       []Remote                 // of the other regions
	models       map[string]*latencyModel // by service
	refusals     refusals
	away         awayCounts
	budgets      map[string]*retry.Budget // by service that this VM coordinates
	readyVMs     []string                 // ready entry VMs of the region, this one included
	allVMs       []string                 // all entry VMs of the region, ready or not
	eligibleVMs  []string                 // ready entry VMs as others see them: without this one while it starts or stops
	coordinators []string                 // ready entry VMs that coordinate the targets of the region
	evacuated    map[string]bool          // data centres
	ended        map[string]time.Time     // when the last evacuation of a data centre ended
}

// NewPlacer returns a placer without targets.
func NewPlacer(self, region string) *Placer {
	return &Placer{
		Self: self, Region: region, started: time.Now(), targets: map[string]*Target{}, models: map[string]*latencyModel{},
		refusals: refusals{rows: map[string]refusal{}}, budgets: map[string]*retry.Budget{}, away: awayCounts{}, ended: map[string]time.Time{},
		readyVMs: []string{self}, allVMs: []string{self}, eligibleVMs: []string{self},
	}
}

// SetVMs sets the entry VMs that share the targets of this region: those that are
// ready, and all that are known. A VM that isn't ready in this VM's view may be
// ready in that of others.
func (p *Placer) SetVMs(ready, known []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.eligibleVMs
	p.readyVMs, p.allVMs = p.withSelf(ready), p.withSelf(known)
	p.eligibleVMs = slices.Sorted(slices.Values(ready))
	if len(ready) == 0 {
		p.eligibleVMs = p.readyVMs
	}
	if slices.Equal(before, p.eligibleVMs) {
		return
	}
	p.coordinators = nil
	p.chooseCoordinators()
}

// withSelf returns the sorted ids, with that of this VM added.
func (p *Placer) withSelf(ids []string) []string {
	ids = slices.Clone(ids)
	if !slices.Contains(ids, p.Self) {
		ids = append(ids, p.Self)
	}
	slices.Sort(ids)
	return ids
}

// SetTargets replaces the targets; region returns the region of a data centre. The
// load of a target that stays, with the same start, is kept.
func (p *Placer) SetTargets(rows map[string]instance.Registration, region func(dataCentre string) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*Target, len(rows))
	byService := map[string][]*Target{}
	for id, row := range rows {
		t, found := p.targets[id]
		if !found || t.Born != row.Born {
			t = &Target{Registration: row, parts: map[string]cachedPart{}, waiting: map[*Assignment]bool{}, streams: map[*Assignment]bool{}}
		}
		t.Registration, t.Region = row, region(row.DataCentre)
		next[id] = t
		if t.Region == p.Region {
			byService[row.Service] = append(byService[row.Service], t)
		}
	}
	for _, targets := range byService {
		slices.SortFunc(targets, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	p.targets, p.byService = next, byService
	p.chooseCoordinators()
}

// Pick selects a target and counts the request there until Done, which must be
// called on the assignment. The preferred target is taken if it is predicted to
// answer within PreferredBound, else the target with the lowest cost. If no target
// may be used, assignment is nil and predicted is the time of the best one that
// was refused, 0 if there is none.
func (p *Placer) Pick(r Request) (assignment *Assignment, predicted time.Duration, reason Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.mayRetry(r) {
		return nil, 0, NoRetries
	}
	r = p.refusals.withReturn(r)
	assignment, predicted, reason = p.pick(r)
	switch {
	case reason == Elsewhere, reason == Busier:
	case assignment == nil:
		p.refusals.add(r)
	case r.Retry && r.Coordinated:
		p.budget(r.Service).Retry()
		fallthrough
	default:
		p.refusals.forget(r)
	}
	return assignment, predicted, reason
}

func (p *Placer) pick(r Request) (assignment *Assignment, predicted time.Duration, reason Reason) {
	model := p.model(r.Service)
	model.size += sizeWeight * (float64(r.Demand.size()) - model.size)
	preferred := p.preferred(r)
	if p.belongsElsewhere(r, preferred) {
		return nil, 0, Elsewhere
	}
	source := p.sources(r, preferred)
	if r.Apart {
		return p.pickApart(r, preferred, source)
	}
	if preferred != nil && p.limitWait(preferred, r.Now) == 0 && !p.keepsForLarger(preferred, r, savedForLarge) && p.hasCapacity(preferred, r) && preferred.Circuit.Closed() && !preferred.refusesLong(r) {
		_, predicted = p.cost(preferred, r, true, source)
		if predicted <= r.PreferredBound && !r.leaves(predicted) && !p.failsMore(preferred, r.Service, r.Now) {
			return p.admit(preferred, r, true, source), predicted, ""
		}
	}
	best, predicted, reason := p.fastest(r, preferred, source, savedForLarge)
	if best == nil || (r.Bound > 0 && predicted > r.Bound) {
		best, predicted, reason = p.fastest(r, preferred, source, savedForLast)
	}
	switch {
	case best == nil:
		return nil, predicted, reason
	case r.Bound > 0 && predicted > r.Bound && best.inFlight > 0:
		return nil, predicted, Slow
	case r.leaves(predicted):
		return nil, predicted, Busier
	case !best.Circuit.Allow():
		return nil, predicted, Full
	}
	return p.admit(best, r, best == preferred, source), predicted, ""
}

// fastest returns the target with the lowest cost among those that may take the
// request, or the reason why there is none. saved is the
// part of a target's limit that must be saved up for a request below the average size.
func (p *Placer) fastest(r Request, preferred *Target, source sources, saved float64) (best *Target, predicted time.Duration, reason Reason) {
	reason = NoTargets
	lowest, limited := time.Duration(0), time.Duration(0)
	for _, t := range p.byService[r.Service] {
		if !p.eligible(t, r, preferred) {
			continue
		}
		if wait := p.limitWait(t, r.Now); wait > 0 {
			limited = shorter(limited, wait)
			continue
		}
		if p.keepsForLarger(t, r, saved) {
			limited = shorter(limited, elsewhereWait)
			continue
		}
		if !p.hasCapacity(t, r) || !t.Circuit.Ready() {
			reason = Full
			continue
		}
		if t.refusesLong(r) {
			reason = Slow
			continue
		}
		cost, first := p.cost(t, r, t == preferred, source)
		if best == nil || cost < lowest {
			best, lowest, predicted = t, cost, first
		}
	}
	if best == nil && reason == NoTargets && limited > 0 {
		return nil, limited, Limited
	}
	return best, predicted, reason
}

// eligible reports whether a target may take the request, whatever its load.
func (p *Placer) eligible(t *Target, r Request, preferred *Target) bool {
	if !t.usable(r.Now) || r.Evacuated[t.DataCentre] || slices.Contains(r.Excluded, t.ID) || !t.suits(r) {
		return false
	}
	return !r.Coordinated || t.coordinator == p.Self || t == preferred
}

// preferred returns the target that the request names, or else the rendezvous
// target of its last shared prompt part, nil if it has none.
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
	for _, t := range p.byService[r.Service] {
		if !p.mayPrefer(t, r) {
			continue
		}
		if w := xxhash.Sum64String(shared + "\x00" + t.ID); w >= weight {
			best, weight = t, w
		}
	}
	return best
}

// mayPrefer reports whether a target may be the preferred one of a request.
func (p *Placer) mayPrefer(t *Target, r Request) bool {
	if !t.usable(r.Now) || t.State == instance.Silent || r.Evacuated[t.DataCentre] || r.Now.Before(p.coldUntil(t)) {
		return false
	}
	return t.suits(r) && !slices.Contains(r.Excluded, t.ID)
}

// cost returns the predicted time until the target begins to answer, and that
// time plus the penalties that apply.
func (p *Placer) cost(t *Target, r Request, preferred bool, source sources) (cost, predicted time.Duration) {
	predicted = p.predict(t, r.Service, p.rank(r), t.work(r, t.holdsShared(r, preferred, source)), r.Now).total
	cost = predicted + p.errorPenalty(t, r)
	if !preferred {
		cost += nonPreferredPenalty
	}
	if t.State == instance.Silent {
		cost += silentPenalty
	}
	return cost, predicted
}

// rank returns the rank that a request has among those that wait at a target.
func (p *Placer) rank(r Request) int {
	if !p.ByRank {
		return 0
	}
	return backlog.Clamp(r.Rank)
}

func (p *Placer) model(service string) *latencyModel {
	model, found := p.models[service]
	if !found {
		model = &latencyModel{base: defaultBase}
		p.models[service] = model
	}
	return model
}

// holdsShared reports whether the target needn't read the shared parts of a request,
// although this VM doesn't know that it has read them: it fetches them, or it is the
// preferred one, to which all VMs of the region send them. The coordinator of a target
// has seen all requests there and assumes nothing.
func (t *Target) holdsShared(r Request, preferred bool, source sources) bool {
	return (preferred && !r.Coordinated) || t.fetches(r, source)
}

// work returns the prompt tokens that a target has to read. With shared, the shared
// parts don't count.
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
		work = defaultWork
	}
	return work
}

func (p *Placer) admit(t *Target, r Request, preferred bool, source sources) *Assignment {
	fetches := t.fetches(r, source)
	work := t.work(r, t.holdsShared(r, preferred, source))
	predicted := p.predict(t, r.Service, p.rank(r), work, r.Now)
	a := &Assignment{
		Target: t, id: t.ID, address: t.Address, version: t.Version, placer: p, service: r.Service, demand: r.Demand, work: work, workAhead: t.pending + work, begun: r.Now,
		rank: p.rank(r), predicted: predicted.total, reading: predicted.reading,
		deadline: r.Deadline,
	}
	if fetches {
		a.source = source[t.Version].Address
	}
	if r.EventTokens > 0 {
		a.expected = r.Demand.Expected/r.EventTokens + 1
	}
	t.inFlight++
	t.limit.Take(r.Now)
	t.pending += work
	t.backlog.Add(a.rank, work, r.Now)
	t.waiting[a] = true
	t.memory.add(r.Demand)
	if r.Sticky {
		t.recordParts(r.Demand, r.Memory, r.Now)
	}
	if r.Now.Before(p.coldUntil(t)) && r.ColdRate > 0 {
		senders := float64(min(len(p.allVMs), coldSenders))
		t.nextCold = r.Now.Add(units.Seconds(senders / r.ColdRate))
	}
	return a
}

// MarkDisplaced records that another target answers at the address of this one.
func (p *Placer) MarkDisplaced(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, found := p.targets[id]; found {
		t.displacedUntil = now.Add(displacedFor)
	}
}

// Address is where a target can be reached.
type Address struct {
	ID      string
	Address string
}

// Usable returns the targets of the region, of all services, that may get requests.
func (p *Placer) Usable(now time.Time) (found []Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, targets := range p.byService {
		for _, t := range targets {
			if t.usable(now) && t.State != instance.Silent {
				found = append(found, Address{ID: t.ID, Address: t.Address})
			}
		}
	}
	return found
}

// Boot identifies the current start of a target.
func (p *Placer) Boot(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	born := int64(0)
	if t, found := p.targets[id]; found {
		born = t.Born
	}
	return id + "/" + strconv.FormatInt(born, 10)
}

// Knows reports whether a target is still known.
func (p *Placer) Knows(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.targets[id]
	return found
}
