package experiment

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"kingcuprill/io/rig/client"
	"kingcuprill/io/rig/fakeengine"
)

const (
	shortTokens   = 8
	leastTokens   = 24
	mostTokens    = 64
	bytesPerToken = 4
	tick          = 20 * time.Millisecond
	relistEvery   = 2 * time.Second
	triesOfCaller = 3 // entry VMs
)

// sample is what a caller saw of one request.
type sample struct {
	organisation string
	at           time.Duration // of its arrival
	reserved     float64       // tokens that the limit takes at first
	used         float64
	firstToken   time.Duration
	took         time.Duration
	gaps         []time.Duration
	whole        bool
	code         string
}

// load sends requests in an open loop: arrivals don't wait for answers.
func (r *run) load(ctx context.Context, group *sync.WaitGroup) {
	clients := r.clients()
	for i, o := range r.settings.Organisations {
		for j, region := range r.settings.Regions {
			if o.Region != "" && o.Region != region {
				continue
			}
			random := rand.New(rand.NewPCG(r.settings.Seed, uint64(i*16+j)))
			group.Go(func() { r.callers(ctx, group, random, o, region, clients[o.Name]) })
		}
	}
}

// callers are one organisation's callers in one region.
func (r *run) callers(ctx context.Context, group *sync.WaitGroup, random *rand.Rand, o Organisation, region string, c *client.Client) {
	addresses := r.addresses(ctx, c, region)
	listed := time.Now()
	regions := float64(len(r.settings.Regions))
	if o.Region != "" {
		regions = 1
	}
	due, number := 0.0, 0
	for elapsed := time.Duration(0); elapsed < r.settings.Duration && ctx.Err() == nil; elapsed = time.Since(r.started) {
		due += o.LoadPerSecond / regions * r.peak(region, elapsed) * tick.Seconds()
		for due > 0 {
			number++
			short := random.Float64() < o.Short
			tokens := leastTokens + random.IntN(mostTokens-leastTokens)
			if short {
				tokens = shortTokens
			}
			text := prompt(o, number, short, tokens)
			estimate := float64(len(text)/bytesPerToken + 1 + tokens)
			due -= estimate * (0.5 + random.Float64())
			list := addresses
			group.Go(func() { r.request(ctx, c, o, list, text, tokens, estimate) })
		}
		if time.Since(listed) > relistEvery {
			if fresh := r.addresses(ctx, c, region); len(fresh) > 0 {
				addresses = fresh
			}
			listed = time.Now()
		}
		time.Sleep(tick)
	}
}

// peak returns a region's load at a moment, 1 on average over all regions.
func (r *run) peak(region string, elapsed time.Duration) float64 {
	n := float64(len(r.settings.Regions))
	switch r.settings.Peaks {
	case "rotating":
		for i, name := range r.settings.Regions {
			if name == region {
				phase := elapsed.Seconds()/r.settings.Duration.Seconds() - float64(i)/n
				return max(0.1, 1+1.6*math.Cos(2*math.Pi*phase))
			}
		}
	case "", "even":
		return 1
	}
	if r.settings.Peaks == region {
		return n
	}
	return 0
}

// request sends one request, to the next VM where one can't be reached.
func (r *run) request(ctx context.Context, c *client.Client, o Organisation, addresses []string, text string, tokens int, estimate float64) {
	s := sample{organisation: o.Name, at: time.Since(r.started), reserved: estimate, code: "unreachable"}
	started := time.Now()
	for _, address := range addresses[:min(triesOfCaller, len(addresses))] {
		answer, err := c.Complete(ctx, address, model, text, tokens, nil)
		s.took = time.Since(started)
		var refusal *client.Refusal
		switch {
		case err == nil:
			s.whole = answer.Text == fakeengine.Answer(model, text, tokens)
			s.firstToken = s.took - answer.Took + answer.FirstToken
			s.gaps = answer.Gaps
			s.used = estimate
			s.code = "answered"
		case errors.As(err, &refusal):
			s.code = refusal.Code
		default:
			s.code = "unreachable"
			continue
		}
		break
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}
