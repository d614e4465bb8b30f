package limit_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/limit"
	"kingcuprill/core/watch"
)

// saturate sends the given VMs requests at more than their shares of the rate.
func (f *fleet) saturate(vms []int, duration time.Duration) {
	var group sync.WaitGroup
	for elapsed := time.Duration(0); elapsed < duration; elapsed += 20 * time.Millisecond {
		for _, vm := range vms {
			group.Go(func() { f.request(vm, 5, 5, 0) })
		}
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
}

// TestLenderRestartsAfterLoan restarts a VM right after it has lent its whole
// base. It must not accrue while the borrower still uses the loan.
func TestLenderRestartsAfterLoan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newRandom(1), 2)
		time.Sleep(20 * time.Second)
		lender, _ := f.limiter(0).Account(organisation)
		borrower, _ := f.limiter(1).Account(organisation)
		asked := time.Now()
		loan := lender.Lend(limit.Amount{RatePerSecond: rate, Burst: burst}, asked)
		if loan.RatePerSecond != rate/2 {
			t.Fatalf("the lender lent %v of its %v tokens a second", loan.RatePerSecond, rate/2)
		}
		borrower.Borrow(loan, asked, time.Now())
		f.restart(0)
		f.cut[[2]int{0, 1}], f.cut[[2]int{1, 0}] = true, true
		f.saturate([]int{0, 1}, 6*time.Second)
		f.history.check(t, 0, rate, burst)
	})
}

// TestJoiningVMWaitsForAcknowledgements lets a VM see its own joining before
// the others do. It must have no share while they still use the old shares.
func TestJoiningVMWaitsForAcknowledgements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := catalogue.New()
		c, _ = c.With(catalogue.Change{PutOrganisation: &catalogue.Organisation{Name: organisation, RatePerSecond: rate, Burst: burst, Weight: 1}})
		c = withVM(c, 0)
		c, _ = c.With(catalogue.Change{SettleVMs: c.VMRevision})
		joined := withVM(c, 1)
		f := &fleet{random: newRandom(1), cut: map[[2]int]bool{{0, 1}: true, {1, 0}: true}, history: &history{start: time.Now()}}
		for i, seen := range []*catalogue.Catalogue{c, joined} {
			f.catalogues = append(f.catalogues, watch.NewValue(seen))
			f.limiters = append(f.limiters, limit.NewLimiter(vmName(i), f.catalogues[i]))
		}
		time.Sleep(20 * time.Second)
		f.saturate([]int{0, 1}, 6*time.Second)
		f.history.check(t, 0, rate, burst)
	})
}

// TestSettledShareStartsEmpty settles a joined VM after the old one has spent its
// burst: the bucket of the new one must start empty.
func TestSettledShareStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newRandom(1), 1)
		time.Sleep(20 * time.Second)
		f.cut[[2]int{0, 1}], f.cut[[2]int{1, 0}] = true, true
		f.saturate([]int{0}, time.Second)
		f.change(withVM(f.current, 1))
		f.saturate([]int{0, 1}, 4*time.Second)
		f.history.check(t, 0, rate, burst)
	})
}

// TestRefundOfSpilledTokens settles a reservation long after the bucket was full
// again. Tokens that a full bucket would have dropped without the reservation
// must not be refunded.
func TestRefundOfSpilledTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newRandom(1), 1)
		f.cut[[2]int{0, 1}], f.cut[[2]int{1, 0}] = true, true
		time.Sleep(20 * time.Second)
		var group sync.WaitGroup
		group.Go(func() { f.request(0, burst, burst/2, 10*time.Second) })
		time.Sleep(9900 * time.Millisecond)
		f.saturate([]int{0}, 2*time.Second)
		group.Wait()
		f.history.check(t, 0, rate, burst)
	})
}

// TestJoinWhileLent lets a VM join while another one uses a loan of a third one's
// whole share. The joined VM must not use its share before the loan has expired.
func TestJoinWhileLent(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(newRandom(seed), 2)
			time.Sleep(20 * time.Second)
			for _, link := range [][2]int{{0, 1}, {1, 0}, {1, 2}, {2, 0}, {2, 1}, {0, 2}} {
				f.cut[link] = true
			}
			lender, _ := f.limiter(0).Account(organisation)
			borrower, _ := f.limiter(1).Account(organisation)
			asked := time.Now()
			borrower.Borrow(lender.Lend(limit.Amount{RatePerSecond: rate, Burst: burst}, asked), asked, asked)
			var group sync.WaitGroup
			for range 20 { // spends the burst at once
				group.Go(func() { f.request(1, 10, 10, 0) })
			}
			group.Go(func() { f.saturate([]int{1, 2}, 6*time.Second) })
			group.Go(func() { f.change(withVM(f.current, 2)) })
			group.Wait()
			f.history.check(t, seed, rate, burst)
		})
	}
}

// TestJoinedVMGetsItsShare lets a VM join that can't borrow. Once loans from before
// have expired it must admit at its share of a third.
func TestJoinedVMGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newRandom(1), 2)
		f.cut[[2]int{2, 0}], f.cut[[2]int{2, 1}] = true, true
		time.Sleep(20 * time.Second)
		f.change(withVM(f.current, 2))
		time.Sleep(limit.StartupDelay)
		f.saturate([]int{2}, 20*time.Second)
		if got := 5 * float64(len(f.history.rows)); got < rate/3*19 {
			t.Errorf("%.0f tokens were admitted in 20s, want about %.0f", got, rate/3*20)
		}
	})
}

// TestNewOrganisationAfterJoin adds an organisation right after a VM has joined. There
// are no loans from before, so that its first request is admitted at once.
func TestNewOrganisationAfterJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(newRandom(1), 2)
		time.Sleep(20 * time.Second)
		f.change(withVM(f.current, 2))
		next, err := f.current.With(catalogue.Change{PutOrganisation: &catalogue.Organisation{Name: "new", RatePerSecond: rate, Burst: burst, Weight: 1}})
		if err != nil {
			t.Fatal(err)
		}
		f.apply(next)
		time.Sleep(500 * time.Millisecond)
		account, err := f.limiter(2).Account("new")
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := account.Reserve(t.Context(), 10, 0, func() {}); err != nil {
			t.Errorf("the first request is refused: %v", err)
		}
	})
}
