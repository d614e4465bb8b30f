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
	pool   *Pool
	books  []*Book
	relays []*Relay // each serves every so manieth VM, none: all draw from the pool
	term   uint64
	limit  Limit
	trips  int  // to the pool for a request that waits
	away   bool // the relays can't reach the pool
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
		tokens = f.draw(vm, order, now)
	}
	if granted {
		f.books[vm].Drawn("o", f.limit, 0, tokens, reachable, now)
		return true
	}
	return f.books[vm].Drawn("o", f.limit, cost, tokens, reachable, now)
}

// draw takes tokens from a VM's relay, or from the pool.
func (f *fleet) draw(vm int, order Order, now time.Time) (tokens float64) {
	if len(f.relays) == 0 {
		f.trips++
		tokens, _ = f.pool.Draw(f.term, "o", f.limit, order.Need, order.Want, now)
		return tokens
	}
	relay := f.relays[vm%len(f.relays)]
	granted, ahead := relay.Take("o", f.limit, order.Need, order.Want, now)
	if granted > 0 {
		if ahead.Want > 0 && f.away {
			relay.Drawn("o", 0, now)
		} else if ahead.Want > 0 {
			tokens, _ = f.pool.Draw(f.term, "o", f.limit, 0, ahead.Want, now)
			relay.Drawn("o", tokens, now)
		}
		return granted
	}
	f.trips++
	if f.away {
		return 0
	}
	tokens, _ = f.pool.Draw(f.term, "o", f.limit, max(0, ahead.Need), ahead.Want, now)
	return relay.Pass("o", tokens, order.Need, order.Want, now)
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
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{RatePerSecond: 20_000 + 500_000*random.Float64()}
		limit.Burst = limit.RatePerSecond
		f := newFleet(vms, limit)
		for range seed % 4 {
			f.relays = append(f.relays, NewRelay())
		}
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
		ahead := limit.RatePerSecond*aheadTime.Seconds() + float64(len(f.relays))*aheadBurst*limit.Burst
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

// Load pattern: 74 VMs, an organisation at half of its rate, so that each VM
// asks once a second. Hardly a request waits for the leader's region.
func TestRelaysSaveTrips(t *testing.T) {
	const vms, perSecond, seconds, cost = 74, 60, 10, 4_000
	limit := Limit{RatePerSecond: 2 * perSecond * cost, Burst: 2 * perSecond * cost}
	trips := map[string]int{}
	for name, relays := range map[string]int{"without": 0, "with": 3} {
		f := newFleet(vms, limit)
		for range relays {
			f.relays = append(f.relays, NewRelay())
		}
		f.pool.Draw(f.term, "o", limit, 0, 0, start)
		random := rand.New(rand.NewPCG(1, 1))
		for i := range perSecond * seconds {
			now := start.Add(2*time.Second + time.Duration(i)*time.Second/perSecond)
			if !f.send(random.IntN(vms), cost, true, now) {
				t.Fatalf("%s relays: request %d is refused inside the limit", name, i)
			}
		}
		trips[name] = f.trips
	}
	t.Logf("trips to the leader: %v of %d requests", trips, perSecond*seconds)
	if trips["with"]*10 > trips["without"] {
		t.Errorf("%d trips with relays, %d without: more than a tenth", trips["with"], trips["without"])
	}
}

// Load pattern: the first requests of a day, seconds after the VMs have started
// and nobody has asked before. The accounts have filled by then.
func TestAccountsFillBeforeTheFirstRequest(t *testing.T) {
	const vms, cost = 6, 12_000
	limit := Limit{RatePerSecond: 36_000, Burst: 36_000}
	f := newFleet(vms, limit)
	f.pool.Lead(f.term, start)
	refused := 0
	for i := range 2 {
		if !f.send(i, cost, true, start.Add(10*time.Second)) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of the first 2 requests, 24,000 of a burst of 36,000 tokens, are refused", refused)
	}
}

// Load pattern: an organisation far over its limit asks through many VMs with
// requests that are large beside a VM's own share. What the pool refuses isn't
// let in by each VM once more.
func TestRefusedByThePoolIsRefused(t *testing.T) {
	const vms, cost, seconds = 74, 12_000, 8
	limit := Limit{RatePerSecond: 36_000, Burst: 36_000}
	f := newFleet(vms, limit)
	f.pool.Lead(f.term, start)
	taken := 0.0
	for i := range 200 * seconds {
		now := start.Add(2*time.Second + time.Duration(i)*5*time.Millisecond)
		if f.send(i%vms, cost, true, now) {
			taken += cost
		}
	}
	if most := limit.RatePerSecond*seconds + limit.Burst + cost; taken > most {
		t.Errorf("%.0f tokens in %d s, the limit and one request are %.0f", taken, seconds, most)
	}
}

// Load pattern: the leader is lost for a second at half of the rate. What the
// relays hold serves nearly all of it.
func TestRelaysCoverAnElection(t *testing.T) {
	const vms, perSecond, cost = 30, 60, 4_000
	limit := Limit{RatePerSecond: 2 * perSecond * cost, Burst: 2 * perSecond * cost}
	f := newFleet(vms, limit)
	for range 3 {
		f.relays = append(f.relays, NewRelay())
	}
	f.pool.Lead(f.term, start)
	random := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for i := range 5 * perSecond {
		now := start.Add(2*time.Second + time.Duration(i)*time.Second/perSecond)
		f.away = i >= 4*perSecond
		if !f.send(random.IntN(vms), cost, true, now) {
			refused++
		}
	}
	if refused*4 > perSecond {
		t.Errorf("%d of %d requests are refused while there is no leader", refused, perSecond)
	}
}
