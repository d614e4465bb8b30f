package limit_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/limit"
	"kingcuprill/core/watch"
)

var seeds = flag.Uint64("limit.seeds", 60, "number of seeds of the simulation")

const (
	rate         = 100.0 // tokens a second
	burst        = 200.0 // tokens
	organisation = "puja-lights"
)

// admission is one admitted request and the tokens that it used.
type admission struct {
	at     time.Duration
	tokens float64
}

// lockedSource lets several goroutines draw from one seed.
type lockedSource struct {
	mu  sync.Mutex
	pcg *rand.PCG
}

func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pcg.Uint64()
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(&lockedSource{pcg: rand.NewPCG(seed, 1)})
}

// history records all admissions of a run.
type history struct {
	mu    sync.Mutex
	start time.Time
	rows  []admission
}

func (h *history) add(at time.Time, tokens float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rows = append(h.rows, admission{at: at.Sub(h.start), tokens: tokens})
}

// check tests every interval between two admissions against the limit. With
// excess(t) = admitted before t - rate x t, an interval is over its limit if
// the excess rises by more than the burst.
func (h *history) check(t *testing.T, seed uint64, allowedRate, allowedBurst float64) {
	t.Helper()
	sort.Slice(h.rows, func(i, j int) bool { return h.rows[i].at < h.rows[j].at })
	admitted, lowest := 0.0, 0.0
	for _, row := range h.rows {
		before := admitted - allowedRate*row.at.Seconds()
		lowest = min(lowest, before)
		admitted += row.tokens
		if over := admitted - allowedRate*row.at.Seconds() - lowest - allowedBurst; over > 1e-6 {
			t.Fatalf("seed %d: %.3f tokens too many were admitted by %v", seed, over, row.at)
		}
	}
}

// fleet is a set of VMs whose accounts lend to each other, and their links.
type fleet struct {
	random     *rand.Rand
	mu         sync.Mutex
	current    *catalogue.Catalogue
	catalogues []*watch.Value[catalogue.Catalogue]
	limiters   []*limit.Limiter
	cut        map[[2]int]bool // links that are down, from and to
	history    *history
}

func vmName(i int) string {
	return fmt.Sprint("vm-", i)
}

func newFleet(random *rand.Rand, vms int) *fleet {
	c := catalogue.New()
	c, _ = c.With(catalogue.Change{PutOrganisation: &catalogue.Organisation{Name: organisation, RatePerSecond: rate, Burst: burst, Weight: 1}})
	for i := range vms {
		c = withVM(c, i)
	}
	c, _ = c.With(catalogue.Change{SettleVMs: c.VMRevision})
	f := &fleet{random: random, current: c, cut: map[[2]int]bool{}, history: &history{start: time.Now()}}
	for i := range vms + 1 { // the last one is not in the set; it may join later
		f.catalogues = append(f.catalogues, watch.NewValue(c))
		f.limiters = append(f.limiters, limit.NewLimiter(vmName(i), f.catalogues[i]))
	}
	return f
}

func withVM(c *catalogue.Catalogue, i int) *catalogue.Catalogue {
	next, err := c.With(catalogue.Change{PutVM: &catalogue.VM{
		ID: vmName(i), Region: fmt.Sprint("region-", i%3), DataCentre: fmt.Sprint("dc-", i%3), PeerAddress: "p", CallerAddress: "c",
	}})
	if err != nil {
		panic(err)
	}
	return next
}

func (f *fleet) limiter(i int) *limit.Limiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limiters[i]
}

// restart replaces a VM's limiter: an empty bucket and no loans.
func (f *fleet) restart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limiters[i] = limit.NewLimiter(vmName(i), f.catalogues[i])
}

func (f *fleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.IntN(120)) * time.Millisecond
}

func (f *fleet) isCut(a, b int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]int{a, b}]
}

// borrow asks every other VM once for a loan, over links with delays and cuts.
func (f *fleet) borrow(i int) {
	account, err := f.limiter(i).Account(organisation)
	if err != nil {
		return
	}
	want, short := account.Shortage(time.Now())
	if !short {
		return
	}
	for j := range f.limiters {
		if j == i || f.isCut(i, j) {
			continue
		}
		asked := time.Now()
		time.Sleep(f.delay())
		lender, err := f.limiter(j).Account(organisation)
		if err != nil {
			continue
		}
		loan := lender.Lend(want, time.Now())
		time.Sleep(f.delay())
		if !f.isCut(j, i) && loan.Amount != (limit.Amount{}) {
			account.Borrow(loan, asked, time.Now())
		}
	}
}

// request reserves tokens, runs for a duration and settles with the used tokens.
func (f *fleet) request(i int, tokens, used float64, duration time.Duration) {
	account, err := f.limiter(i).Account(organisation)
	if err != nil {
		return
	}
	reservation, _, err := account.Reserve(context.Background(), tokens, time.Second, func() {
		go f.borrow(i)
	})
	if err != nil {
		return
	}
	at := time.Now()
	time.Sleep(duration)
	reservation.Settle(used)
	f.history.add(at, used)
}

// change adds or removes a VM in two phases, as the leader does: every VM has
// the change in force before it is settled.
func (f *fleet) change(next *catalogue.Catalogue) {
	f.apply(next)
	settled, err := next.With(catalogue.Change{SettleVMs: next.VMRevision})
	if err != nil {
		panic(err)
	}
	f.apply(settled)
}

func (f *fleet) apply(next *catalogue.Catalogue) {
	for i, published := range f.catalogues {
		time.Sleep(f.delay())
		published.Update(func(*catalogue.Catalogue) *catalogue.Catalogue { return next })
		f.limiter(i).Refresh()
	}
	f.current = next
}

func (f *fleet) injectFault() {
	f.mu.Lock()
	kind, a, b := f.random.IntN(8), f.random.IntN(len(f.limiters)), f.random.IntN(len(f.limiters))
	if kind < 3 {
		f.cut[[2]int{a, b}] = kind > 0
		f.cut[[2]int{b, a}] = kind > 0
	}
	f.mu.Unlock()
	if kind == 3 {
		f.restart(a)
	}
}

// phases is the number of changes of the hot VMs in a run.
const phases = 16

// overload sends a VM one request of random size. The calls of a phase exceed the
// share of the VM.
func (f *fleet) overload(group *sync.WaitGroup, vm int) {
	f.mu.Lock()
	tokens := float64(1 + f.random.IntN(20))
	used, duration := tokens, time.Duration(0)
	if f.random.IntN(3) == 0 {
		used = tokens * f.random.Float64()
		duration = time.Duration(f.random.IntN(6000)) * time.Millisecond
	}
	f.mu.Unlock()
	group.Go(func() { f.request(vm, tokens, used, duration) })
}

func run(seed uint64) *fleet {
	random := newRandom(seed)
	vms := 2 + random.IntN(6)
	f := newFleet(random, vms)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(time.Duration(3+seed%7) * time.Second)
		if seed%3 == 0 {
			f.change(withVM(f.current, vms))
		}
		if seed%3 == 1 {
			next, _ := f.current.With(catalogue.Change{RemoveVM: vmName(0)})
			f.change(next)
		}
	})
	for range phases {
		hot := random.Uint64()
		switch random.IntN(4) {
		case 0:
			hot = ^uint64(0) // all VMs at once
		case 1:
			hot = 0 // no VM, so that the buckets fill
		case 2:
			hot = 1 << random.IntN(len(f.limiters)) // one VM borrows what it can
		}
		for range 2 + random.IntN(50) {
			for vm := range f.limiters {
				if hot>>vm&1 == 1 {
					f.overload(&group, vm)
					f.overload(&group, vm)
				}
			}
			time.Sleep(50 * time.Millisecond)
			if random.IntN(60) == 0 {
				f.injectFault()
			}
		}
	}
	group.Wait()
	return f
}

// TestNoOverrun checks that all VMs together stay within the limit in every
// interval, under hot spots, lost and late loans, link failures, restarts and
// changes of the VM set.
func TestNoOverrun(t *testing.T) {
	admitted := uint64(0)
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			f := run(seed)
			f.history.check(t, seed, rate, burst)
			admitted += uint64(len(f.history.rows))
		})
	}
	if admitted < 100**seeds {
		t.Fatalf("%d requests were admitted in %d runs; too few to test the limit", admitted, *seeds)
	}
}

// TestLoansFollowDemand sends all requests to one VM: with loans it gets nearly
// the organisation's whole rate, though its own share is a fraction.
func TestLoansFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newRandom(1), 6)
		time.Sleep(20 * time.Second)
		var group sync.WaitGroup
		for range 400 { // 90 tokens a second for 44 s
			group.Go(func() { f.request(0, 10, 10, 0) })
			time.Sleep(111 * time.Millisecond)
		}
		group.Wait()
		f.history.check(t, 0, rate, burst)
		if got := len(f.history.rows); got < 380 {
			t.Fatalf("%d of 400 requests inside the organisation's rate were admitted, want 380 or more", got)
		}
	})
}

// TestCutVMKeepsItsShare cuts one VM off from all others: it must go on admitting
// at its base share.
func TestCutVMKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newRandom(1), 3) // one VM in each data centre: a third each
		for j := range f.limiters {
			f.cut[[2]int{0, j}], f.cut[[2]int{j, 0}] = true, true
		}
		time.Sleep(20 * time.Second)
		var group sync.WaitGroup
		for range 300 {
			group.Go(func() { f.request(0, 10, 10, 0) })
			time.Sleep(100 * time.Millisecond)
		}
		group.Wait()
		f.history.check(t, 0, rate/3, burst/3)
		if got := len(f.history.rows); got < 95 {
			t.Fatalf("%d requests of 10 tokens were admitted in 30 s, want 95 or more of a share of 33 tokens a second", got)
		}
	})
}
