package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Remote is the number of usable targets of one version of a service in a data
// centre of another region.
type Remote struct {
	Service    string
	DataCentre string
	Region     string
	Version    string // of their software
	Targets    int
}

// SetRemote replaces what is known of the targets in other regions.
func (p *Placer) SetRemote(remote []Remote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remote = remote
}

// Regions returns the other regions in which a request can run, by weighted
// rendezvous hashing of its shared prompt part, so that all VMs send a part to the
// same region. A region gets parts in proportion to its targets.
func (p *Placer) Regions(r Request) (regions []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	shared := r.Service
	if len(r.Demand.Parts) > 0 {
		shared = r.Demand.shared()
	}
	weights := map[string]float64{}
	for region, count := range p.remoteTargets(r) {
		weights[region] = weight(shared, region, count)
		regions = append(regions, region)
	}
	slices.SortFunc(regions, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return regions
}

// remoteTargets returns the usable targets of the request's service in the other
// regions.
func (p *Placer) remoteTargets(r Request) (targets map[string]int) {
	targets = map[string]int{}
	for _, remote := range p.remote {
		if remote.Service == r.Service && remote.Targets > 0 && r.accepts(remote.Version) && !r.Evacuated[remote.DataCentre] {
			targets[remote.Region] += remote.Targets
		}
	}
	return targets
}

// RemoteCost says what a request costs in another region.
type RemoteCost struct {
	// Own is the time to read the prompt without its shared parts, Shared to read those.
	Own, Shared time.Duration
	// Load is by how much a target there is busier on average when each VM of this region
	// sends one such request.
	Load time.Duration
}

// RemoteCost returns what a request costs in another region, as far as this VM knows the
// speed of the service's targets.
func (p *Placer) RemoteCost(r Request, region string) (c RemoteCost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokenTime := p.tokenTime(r.Service)
	shared := 0
	for _, part := range r.Demand.sharedParts() {
		shared += part.Tokens
	}
	own := max(0, r.Demand.Prompt-shared)
	if r.Demand.Prompt == 0 {
		own = defaultWork
	}
	c.Own, c.Shared = tokenTime*time.Duration(own), tokenTime*time.Duration(shared)
	c.Load = c.Own * time.Duration(len(p.eligibleVMs)) / time.Duration(max(1, p.remoteTargets(r)[region]))
	return c
}

// weight returns the rendezvous weight of a region for a part. The region with the
// highest weight is each one with a probability in proportion to its count.
func weight(part, region string, count int) float64 {
	const buckets = 1 << 53
	uniform := (float64(xxhash.Sum64String(part+"\x00"+region)%buckets) + 0.5) / buckets
	return -float64(count) / math.Log(uniform)
}
