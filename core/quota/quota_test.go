package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

type spent struct {
	at   time.Time
	cost float64
}

// fleet is a pool and some entry VMs in virtual time.
type fleet struct {
	pool  *Pool
	books []*Book
	term  uint64
	limit Limit
}

func newFleet(vms int, limit Limit) *fleet {
	f := &fleet{pool: NewPool(), term: 1, limit: limit}
	for range vms {
		b := NewBook()
		b.SetVMs(vms)
		f.books = append(f.books, b)
	}
	return f
}

func (f *fleet) send(vm int, cost float64, reachable bool, now time.Time) bool {
	granted, order := f.books[vm].Take("o", f.limit, cost, now)
	if granted && order.Want == 0 {
		return true
	}
	tokens := 0.0
	if reachable {
		tokens, _ = f.pool.Draw(f.term, "o", f.limit, order.Need, order.Want, now)
	}
	if granted {
		f.books[vm].Drawn("o", f.limit, 0, tokens, now)
		return true
	}
	return f.books[vm].Drawn("o", f.limit, cost, tokens, now)
}

func most(rows []spent, window time.Duration) (highest float64) {
	first, sum := 0, 0.0
	for _, row := range rows {
		sum += row.cost
		for row.at.Sub(rows[first].at) >= window {
			sum -= rows[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

// Load pattern: an organisation sends five times its rate through all VMs while
// the leader changes and VMs lose it. In each window the sum keeps to the
// limit, but for one request of each VM.
func TestSumKeepsToTheLimit(t *testing.T) {
	const vms, window = 7, 8 * time.Second
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{RatePerSecond: 20_000 + 500_000*random.Float64()}
		limit.Burst = limit.RatePerSecond
		f := newFleet(vms, limit)
		rows := []spent{}
		largest := 0.0
		now := start
		for now.Sub(start) < 20*time.Second {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(5*time.Millisecond)))
			if random.IntN(2000) == 0 {
				f.term++
			}
			cost := 200 + 12_000*random.Float64()
			if f.send(random.IntN(vms), cost, random.IntN(10) > 0, now) {
				rows = append(rows, spent{now, cost})
				largest = max(largest, cost)
			}
		}
		allowed := limit.RatePerSecond*window.Seconds() + limit.Burst
		ahead := limit.RatePerSecond * aheadTime.Seconds()
		if got := most(rows, window); got > allowed+ahead+vms*largest {
			t.Fatalf("seed %d: %.0f tokens in %v, the limit is %.0f, drawn ahead %.0f", seed, got, window, allowed, ahead)
		}
	}
}

// Load pattern: all of an organisation's requests come through one VM, as its
// region's peak does.
func TestOneVMMayUseMostOfTheRate(t *testing.T) {
	limit := Limit{RatePerSecond: 36_000, Burst: 36_000}
	f := newFleet(7, limit)
	served, refused := 0.0, 0.0
	for step := range 400 {
		now := start.Add(2*time.Second + time.Duration(step)*500*time.Millisecond)
		const cost = 12_000 // two thirds of the rate
		if f.send(0, cost, true, now) {
			served++
		} else {
			refused++
		}
	}
	if share := served / (served + refused); share < 0.95 {
		t.Errorf("%.2f of requests at two thirds of the rate are let in through one VM", share)
	}
}

// A request that is larger than the burst is served once the account is full.
func TestLargerThanTheBurst(t *testing.T) {
	limit := Limit{RatePerSecond: 10_000, Burst: 10_000}
	f := newFleet(3, limit)
	f.send(0, 1, true, start)
	if !f.send(0, 50_000, true, start.Add(5*time.Second)) {
		t.Error("a large request is refused although the account is full")
	}
	if f.send(1, 50_000, true, start.Add(6*time.Second)) {
		t.Error("a second large request is let in right after")
	}
}

// Without the leader, the VMs' own shares go on.
func TestOwnShareWithoutLeader(t *testing.T) {
	f := newFleet(4, Limit{RatePerSecond: 16_000, Burst: 16_000})
	served := 0
	for step := range 100 {
		if f.send(step%4, 200, false, start.Add(time.Duration(step)*100*time.Millisecond)) {
			served++
		}
	}
	if served < 90 {
		t.Errorf("%d of 100 small requests are let in without the leader", served)
	}
}
