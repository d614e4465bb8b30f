package place

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// told is when each VM first read an answer that names a limit, by VM and target.
type told struct {
	mu sync.Mutex
	at map[[2]string]time.Time
}

// counts reports whether a request of a VM counts: the VM has known the limit for a while.
func (k *told) counts(vm, target string) bool {
	const margin = 500 * time.Millisecond
	k.mu.Lock()
	defer k.mu.Unlock()
	at, known := k.at[[2]string{vm, target}]
	return known && time.Since(at) >= margin
}

func (k *told) learn(vm, target string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.at[[2]string{vm, target}]; !known {
		k.at[[2]string{vm, target}] = time.Now()
	}
}

// tellLate tells each VM after a time of its own which VMs are ready.
func (g *limitedRegion) tellLate(ready, all []string, latest time.Duration) {
	for _, p := range g.placers {
		time.AfterFunc(time.Duration(g.intN(int(latest))), func() {
			p.SetVMs(ready, all)
		})
	}
}

// handover is a change of the VMs, beside which all send.
type handover struct {
	name   string
	leaves bool // a VM is no longer ready; it goes on with its own requests
	comes  bool // a VM starts
}

// The VMs that coordinate a target change, and each VM learns of it at another time. A
// target gets no more than one and a half times its limit, and most of it.
func TestLimitHoldsWhileCoordinatorsChange(t *testing.T) {
	const platformShare, platformSlack = 1.5, 5
	const seconds = 20
	handovers := []handover{{name: "a VM leaves", leaves: true}, {name: "a VM comes", comes: true}, {name: "a VM is replaced", leaves: true, comes: true}}
	for _, change := range handovers {
		for _, vms := range []int{1, 3, 7, 30} {
			for _, rate := range []float64{0.4, 2.5, 10} {
				t.Run(fmt.Sprintf("%s, %d VMs, %v a second", change.name, vms, rate), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						limits := map[string]float64{"t0": rate, "t1": rate, "t2": rate}
						g := newLimitedRegion(1, vms, 9, limits)
						g.played(change, vms, seconds)
						for target := range limits {
							allowed := int(platformShare*4*rate) + platformSlack
							if most := most(g.counted[target], time.Time{}); most > allowed {
								t.Errorf("%s got %d requests in 4 s, %d are allowed", target, most, allowed)
							}
							if got, least := len(g.sends[target]), int(seconds*rate/2); got < least {
								t.Errorf("%s got only %d requests in %d s", target, got, seconds)
							}
						}
					})
				})
			}
		}
	}
}

// played sends for some seconds. The VMs change every 5s.
func (g *limitedRegion) played(change handover, vms, seconds int) {
	const pause, latest = 5 * time.Millisecond, 1500 * time.Millisecond
	var all []string
	for i := range vms {
		all = append(all, fmt.Sprint("vm", i))
	}
	ready := slices.Clone(all)
	const steps, each = 200, 5
	for step := range seconds * steps {
		if step > 0 && step%(each*steps) == 0 {
			if change.comes {
				id := fmt.Sprint("new", step)
				g.start(id)
				all, ready = append(all, id), append(ready, id)
			}
			if change.leaves && len(ready) > 1 {
				ready = ready[1:]
			}
			g.tellLate(slices.Clone(ready), slices.Clone(all), latest)
		}
		g.send(all[g.intN(len(all))])
		time.Sleep(pause)
	}
	time.Sleep(latest)
}
