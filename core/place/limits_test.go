package place

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/instance"
	"kingcuprill/core/targetlimit"
)

// limitedRegion is a region of VMs that each place requests at the same targets, some of
// which name a limit. Calls between VMs are at times lost.
type limitedRegion struct {
	mu      sync.Mutex // guards random and limits, as answers come beside new requests
	random  *rand.Rand
	placers map[string]*Placer
	rows    map[string]instance.Registration
	limits  map[string]float64 // by target
	sends   map[string][]time.Time
	told    *told
	counted map[string][]time.Time // sends of VMs that know the limit
	served  int
	refused int
}

func newLimitedRegion(seed uint64, vms, targets int, limits map[string]float64) *limitedRegion {
	g := &limitedRegion{
		random: rand.New(rand.NewPCG(seed, 1)), placers: map[string]*Placer{}, rows: map[string]instance.Registration{}, limits: limits,
		sends: map[string][]time.Time{}, counted: map[string][]time.Time{}, told: &told{at: map[[2]string]time.Time{}},
	}
	for i := range targets {
		id := fmt.Sprint("t", i)
		g.rows[id] = instance.Registration{ID: id, Service: "s", Address: id, State: instance.Ready, Slots: 16, Born: 1, Heard: time.Now()}
	}
	for i := range vms {
		g.start(fmt.Sprint("vm", i))
	}
	g.tellVMs()
	return g
}

func (g *limitedRegion) intN(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(n)
}

func (g *limitedRegion) start(id string) {
	p := NewPlacer(id, "r")
	p.SetTargets(g.rows, func(string) string { return "r" })
	g.placers[id] = p
}

// tellVMs tells all VMs which ones there are.
func (g *limitedRegion) tellVMs() {
	var ids []string
	for id := range g.placers {
		ids = append(ids, id)
	}
	for _, p := range g.placers {
		p.SetVMs(ids, ids)
	}
}

func (g *limitedRegion) request() Request {
	now := time.Now()
	return Request{
		Service: "s", Sticky: true, Memory: 100000, Now: now, Deadline: now.Add(3 * time.Second), Bound: time.Second, Objective: time.Second,
		Demand: Demand{Prompt: 200, Parts: []Part{{ID: fmt.Sprint("p", g.intN(50)), Tokens: 100}, {ID: fmt.Sprint(g.intN(1 << 60)), Tokens: 100}}},
	}
}

// send places a request at one VM and answers it after 50ms.
func (g *limitedRegion) send(vm string) {
	own := g.placers[vm]
	r := g.request()
	assigned := g.place(own, r)
	if assigned == nil {
		g.refused++
		return
	}
	g.served++
	target, _ := assigned.Where()
	sent := time.Now()
	g.sends[target] = append(g.sends[target], sent)
	if g.told.counts(vm, target) {
		g.counted[target] = append(g.counted[target], sent)
	}
	time.AfterFunc(50*time.Millisecond, func() {
		g.mu.Lock()
		rate, named := g.limits[target]
		g.mu.Unlock()
		n := targetlimit.Notice{Named: named, Rate: rate}
		own.ObserveLimit(target, n, sent, time.Now())
		if named {
			g.told.learn(vm, target)
		}
		if g.intN(10) > 0 { // else the report is lost
			assigned.ObserveLimit(n, time.Now())
		}
		assigned.Done(Success, time.Now())
	})
}

func (g *limitedRegion) place(own *Placer, r Request) *Assignment {
	failed := false
	for _, c := range own.Candidates(r, 3) {
		r.Preferred, r.Limits = c.Target, own.KnownLimits("s", c.VM, r.Now)
		coordinator, runs := g.placers[c.VM]
		if !runs || (coordinator != own && g.intN(3) == 0) {
			failed = true
			continue
		}
		asked := r
		asked.Coordinated = true
		coordinator.LearnLimits(r.Limits, r.Now)
		assigned, _, _ := coordinator.Pick(asked)
		own.LearnLimits(coordinator.KnownLimits("s", c.VM, r.Now), r.Now)
		if assigned != nil {
			return assigned
		}
	}
	if !failed {
		return nil
	}
	r.Preferred, r.Limits = "", nil
	assigned, _, _ := own.Pick(r)
	return assigned
}

// most returns the largest number of requests in 4s, from a time on.
func most(sends []time.Time, from time.Time) (most int) {
	for i, begin := range sends {
		count := 0
		for _, at := range sends[i:] {
			if at.Sub(begin) >= 4*time.Second {
				break
			}
			count++
		}
		if !begin.Before(from) {
			most = max(most, count)
		}
	}
	return most
}

// Many VMs, of which some end and others start, send to targets that name limits, also
// below one request a second. With lost calls and reports, a target gets no more than
// its limit, in the bound that the platform states; and the others take the rest.
func TestLimitHoldsForAllVMsTogether(t *testing.T) {
	const platformShare, platformSlack = 1.5, 5
	for _, vms := range []int{2, 6, 60} {
		for seed := range uint64(4) {
			synctest.Test(t, func(t *testing.T) {
				limits := map[string]float64{"t0": 2, "t1": 0.4, "t2": 8, "t3": 0}
				g := newLimitedRegion(seed, vms, 8, limits)
				begun := time.Now()
				for number := 0; time.Since(begun) < 40*time.Second; number++ {
					g.send(fmt.Sprint("vm", g.intN(vms)))
					time.Sleep(10 * time.Millisecond)
					if number%800 == 799 {
						g.start(fmt.Sprint("vm", g.intN(vms)))
						g.tellVMs()
					}
				}
				for target, rate := range limits {
					allowed := int(platformShare*4*rate) + platformSlack
					if most := most(g.sends[target], begun.Add(5*time.Second)); most > allowed {
						t.Errorf("%d VMs, seed %d: %s got %d requests in 4 s, %d are allowed", vms, seed, target, most, allowed)
					}
					if got, least := len(g.sends[target]), int(40*rate*0.5); got < least {
						t.Errorf("%d VMs, seed %d: %s got only %d requests at a limit of %v", vms, seed, target, got, rate)
					}
				}
				if g.refused > (g.served+g.refused)/10 {
					t.Errorf("%d VMs, seed %d: %d refused, %d served", vms, seed, g.refused, g.served)
				}
				time.Sleep(time.Second)
			})
		}
	}
}

// A target names another limit than before, or none for a while. It gets what it names,
// from a second after it has.
func TestLimitFollowsWhatTheTargetNames(t *testing.T) {
	const allowedShare, allowedSlack, window = 1.5, 5, 4 * time.Second
	steps := []float64{50, 0.4, 10, -1, 2.5, 0.1} // requests per second, -1 for none
	for _, vms := range []int{1, 7, 60} {
		synctest.Test(t, func(t *testing.T) {
			g := newLimitedRegion(1, vms, 9, map[string]float64{})
			for _, rate := range steps {
				g.mu.Lock()
				g.limits["t0"] = rate
				if rate < 0 {
					delete(g.limits, "t0")
				}
				g.mu.Unlock()
				begun, before := time.Now(), len(g.sends["t0"])
				for time.Since(begun) < 10*time.Second {
					g.send(fmt.Sprint("vm", g.intN(vms)))
					time.Sleep(5 * time.Millisecond)
				}
				allowed := int(allowedShare*rate*window.Seconds()) + allowedSlack
				if most := most(g.sends["t0"], begun.Add(time.Second)); rate >= 0 && most > allowed {
					t.Errorf("%d VMs, limit %v: %d requests in %v, %d are allowed", vms, rate, most, window, allowed)
				}
				if got, least := len(g.sends["t0"])-before, int(10*min(rate, 20)/2); got < least || rate < 0 && got < 50 {
					t.Errorf("%d VMs, limit %v: only %d requests in 10 s", vms, rate, got)
				}
			}
			time.Sleep(time.Second)
		})
	}
}

// A target that bounds the number of its requests is kept for the large ones while
// others have room for the small ones.
func TestLimitIsKeptForLargeRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newLimitedRegion(1, 1, 2, nil)
		p := g.placers["vm0"]
		p.ObserveLimit("t0", targetlimit.Notice{Named: true, Rate: 4}, time.Now(), time.Now())
		counts := map[string]map[bool]int{"t0": {}, "t1": {}}
		for number := range 4000 {
			r := g.request()
			r.Coordinated = true
			large := number%8 == 0
			if large {
				r.Demand.Prompt = 5000
			}
			if a, _, _ := p.Pick(r); a != nil {
				id, _ := a.Where()
				counts[id][large]++
				time.AfterFunc(50*time.Millisecond, func() { a.Done(Success, time.Now()) })
			}
			time.Sleep(10 * time.Millisecond)
		}
		if counts["t0"][true] < 5*counts["t0"][false] {
			t.Errorf("the limited target got %d large and %d small requests", counts["t0"][true], counts["t0"][false])
		}
		if sent := counts["t0"][true] + counts["t0"][false]; sent < 4*40*8/10 {
			t.Errorf("the limited target got %d requests in 40 s at 4 a second", sent)
		}
		time.Sleep(time.Second)
	})
}
