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
	minLongTokens = 24
	maxLongTokens = 64
	bytesPerToken = 4
	loadInterval  = 20 * time.Millisecond
	listInterval  = 2 * time.Second
	maxAttempts   = 3
)

// sample is the outcome of one request as the caller saw it.
type sample struct {
	organisation string
	at           time.Duration // arrival, since the start of the load
	reserved     float64       // tokens that the rate limit takes on admission
	used         float64       // tokens charged: the estimate if answered, else 0
	firstToken   time.Duration // since the arrival
	took         time.Duration // since the arrival
	gaps         []time.Duration
	whole        bool   // the answer is complete and right
	code         string // "answered", "unreachable" or the code of the refusal
}

// startLoad starts the callers of all organisations and regions. They send
// requests in an open loop: arrivals don't wait for answers.
func (r *run) startLoad(ctx context.Context, group *sync.WaitGroup) {
	clients := r.clients()
	for i, o := range r.settings.Organisations {
		for j, region := range r.settings.Regions {
			if o.Region != "" && o.Region != region {
				continue
			}
			random := rand.New(rand.NewPCG(r.settings.Seed, uint64(i*16+j)))
			group.Go(func() { r.generateLoad(ctx, group, random, o, region, clients[o.Name]) })
		}
	}
}

// generateLoad sends the load of one organisation in one region for the
// duration of the run.
func (r *run) generateLoad(ctx context.Context, group *sync.WaitGroup, random *rand.Rand, o Organisation, region string, c *client.Client) {
	addresses := r.addresses(ctx, c, region)
	listed := time.Now()
	regions := float64(len(r.settings.Regions))
	if o.Region != "" {
		regions = 1
	}
	dueTokens, number := 0.0, 0
	for elapsed := time.Duration(0); elapsed < r.settings.Duration && ctx.Err() == nil; elapsed = time.Since(r.started) {
		dueTokens += o.LoadPerSecond / regions * r.loadFactor(region, elapsed) * loadInterval.Seconds()
		for dueTokens > 0 {
			number++
			short := random.Float64() < o.Short
			tokens := minLongTokens + random.IntN(maxLongTokens-minLongTokens)
			if short {
				tokens = shortTokens
			}
			text := prompt(o, number, short, tokens)
			estimate := float64(len(text)/bytesPerToken + 1 + tokens)
			dueTokens -= estimate * (0.5 + random.Float64())
			list := addresses
			group.Go(func() { r.sendRequest(ctx, c, o, list, text, tokens, estimate) })
		}
		if time.Since(listed) > listInterval {
			if fresh := r.addresses(ctx, c, region); len(fresh) > 0 {
				addresses = fresh
			}
			listed = time.Now()
		}
		time.Sleep(loadInterval)
	}
}

// loadFactor returns the factor by which a region's load is multiplied at a
// moment. The average over all regions is 1, or slightly more with "rotating".
func (r *run) loadFactor(region string, elapsed time.Duration) float64 {
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

// sendRequest sends one request and records its outcome. If a VM doesn't
// answer, it tries the next one.
func (r *run) sendRequest(ctx context.Context, c *client.Client, o Organisation, addresses []string, text string, tokens int, estimate float64) {
	s := sample{organisation: o.Name, at: time.Since(r.started), reserved: estimate, code: "unreachable"}
	started := time.Now()
	for _, address := range addresses[:min(maxAttempts, len(addresses))] {
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
