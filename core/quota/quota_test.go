package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

type admission struct {
	at   time.Time
	cost float64
}

// fleet is a pool and some entry VMs in virtual time.
type fleet struct {
	pool       *Pool
	limiters   []*Limiter
	relays     []*Relay // VM i uses relay i modulo their number; none: all VMs draw from the pool
	term       uint64
	limit      Limit
	roundTrips int  // round trips to the pool that a request waits for
	noLeader   bool // the relays can't reach the pool
}

func newFleet(vms int, limit Limit) *fleet {
	f := &fleet{pool: NewPool(), term: 1, limit: limit}
	for range vms {
		l := NewLimiter()
		l.SetVMs(vms)
		f.limiters = append(f.limiters, l)
	}
	return f
}

func (f *fleet) send(vm int, cost float64, reachable bool, now time.Time) bool {
	granted, order := f.limiters[vm].Take("o", f.limit, cost, now)
	if granted && order.Want == 0 {
		return true
	}
	tokens := 0.0
	if reachable {
		tokens = f.draw(vm, order, now)
	}
	if granted {
		f.limiters[vm].AddDrawn("o", f.limit, order, 0, tokens, reachable, now)
		return true
	}
	return f.limiters[vm].AddDrawn("o", f.limit, order, cost, tokens, reachable, now)
}

// draw takes tokens from a VM's relay, or from the pool.
func (f *fleet) draw(vm int, order Order, now time.Time) (tokens float64) {
	if len(f.relays) == 0 {
		f.roundTrips++
		tokens, _ = f.pool.Draw(f.term, "o", f.limit, order.Need, order.Want, now)
		return tokens
	}
	relay := f.relays[vm%len(f.relays)]
	granted, prefetch := relay.Take("o", f.limit, order.Need, order.Want, now)
	if granted > 0 {
		if prefetch.Want > 0 && f.noLeader {
			relay.AddDrawn("o", prefetch, 0, now)
		} else if prefetch.Want > 0 {
			tokens, _ = f.pool.Draw(f.term, "o", f.limit, 0, prefetch.Want, now)
			relay.AddDrawn("o", prefetch, tokens, now)
		}
		return granted
	}
	f.roundTrips++
	if f.noLeader {
		relay.AddDrawn("o", prefetch, 0, now)
		return 0
	}
	tokens, _ = f.pool.Draw(f.term, "o", f.limit, max(0, prefetch.Need), prefetch.Want, now)
	return relay.Pass("o", prefetch, tokens, order.Need, order.Want, now)
}

func highestSum(rows []admission, window time.Duration) (highest float64) {
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

// TestSumKeepsToTheLimit sends about five times an organisation's rate through all
// VMs while the leader changes and some draws don't reach it. In each window, the
// admitted tokens must stay within the limit plus what is drawn in advance and
// one request of each VM.
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
		rows := []admission{}
		largest := 0.0
		now := start
		for now.Sub(start) < 20*time.Second {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(5*time.Millisecond)))
			if random.IntN(2000) == 0 {
				f.term++
			}
			cost := 200 + 12_000*random.Float64()
			if f.send(random.IntN(vms), cost, random.IntN(10) > 0, now) {
				rows = append(rows, admission{now, cost})
				largest = max(largest, cost)
			}
		}
		allowed := limit.RatePerSecond*window.Seconds() + limit.Burst
		prefetch := limit.RatePerSecond*prefetchTime.Seconds() + float64(len(f.relays))*maxPrefetchShare*limit.Burst
		if got := highestSum(rows, window); got > allowed+prefetch+vms*largest {
			t.Fatalf("seed %d: %.0f tokens in %v, the limit is %.0f, drawn in advance %.0f", seed, got, window, allowed, prefetch)
		}
	}
}

// TestOneVMMayUseMostOfTheRate sends all requests of an organisation through one
// VM, as in a peak of one region. They need two thirds of the rate.
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
		t.Errorf("%.2f of requests at two thirds of the rate are admitted through one VM", share)
	}
}

// TestLargerThanTheBurst expects a request larger than the burst to be served
// once the bucket is full, and a second one right after to be refused.
func TestLargerThanTheBurst(t *testing.T) {
	limit := Limit{RatePerSecond: 10_000, Burst: 10_000}
	f := newFleet(3, limit)
	f.send(0, 1, true, start)
	if !f.send(0, 50_000, true, start.Add(5*time.Second)) {
		t.Error("a large request is refused although the bucket is full")
	}
	if f.send(1, 50_000, true, start.Add(6*time.Second)) {
		t.Error("a second large request is admitted right after")
	}
}

// TestOwnShareWithoutLeader expects local buckets to serve small requests without
// the leader.
func TestOwnShareWithoutLeader(t *testing.T) {
	f := newFleet(4, Limit{RatePerSecond: 16_000, Burst: 16_000})
	served := 0
	for step := range 100 {
		if f.send(step%4, 200, false, start.Add(time.Duration(step)*100*time.Millisecond)) {
			served++
		}
	}
	if served < 90 {
		t.Errorf("%d of 100 small requests are admitted without the leader", served)
	}
}

// TestRelaysSaveTrips sends half of an organisation's rate through 74 VMs, less
// than one request a second each, too few for VMs to draw in advance. With relays,
// few requests must wait for a round trip to the leader's region.
func TestRelaysSaveTrips(t *testing.T) {
	const vms, perSecond, seconds, cost = 74, 60, 10, 4_000
	limit := Limit{RatePerSecond: 2 * perSecond * cost, Burst: 2 * perSecond * cost}
	roundTrips := map[string]int{}
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
				t.Fatalf("%s relays: request %d is refused within the limit", name, i)
			}
		}
		roundTrips[name] = f.roundTrips
	}
	t.Logf("round trips to the leader: %v of %d requests", roundTrips, perSecond*seconds)
	if roundTrips["with"]*10 > roundTrips["without"] {
		t.Errorf("%d round trips with relays, %d without: more than a tenth", roundTrips["with"], roundTrips["without"])
	}
}

// TestAccountsFillBeforeTheFirstRequest sends the first requests 10 seconds after
// the term began. The buckets must have filled although nobody drew from them.
func TestAccountsFillBeforeTheFirstRequest(t *testing.T) {
	const vms, cost = 6, 12_000
	limit := Limit{RatePerSecond: 36_000, Burst: 36_000}
	f := newFleet(vms, limit)
	f.pool.StartTerm(f.term, start)
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

// TestRefusedByThePoolIsRefused sends requests far over the limit through many VMs,
// each large compared to a VM's share. A request that the pool refuses must not be
// admitted by the VM's local bucket.
func TestRefusedByThePoolIsRefused(t *testing.T) {
	const vms, cost, seconds = 74, 12_000, 8
	limit := Limit{RatePerSecond: 36_000, Burst: 36_000}
	f := newFleet(vms, limit)
	f.pool.StartTerm(f.term, start)
	admitted := 0.0
	for i := range 200 * seconds {
		now := start.Add(2*time.Second + time.Duration(i)*5*time.Millisecond)
		if f.send(i%vms, cost, true, now) {
			admitted += cost
		}
	}
	if most := limit.RatePerSecond*seconds + limit.Burst + cost; admitted > most {
		t.Errorf("%.0f tokens in %d s, the limit and one request are %.0f", admitted, seconds, most)
	}
}

// TestRelaysCoverAnElection sends half of the rate and loses the leader for one
// second. The tokens that the relays hold must serve at least three quarters of
// the requests in it.
func TestRelaysCoverAnElection(t *testing.T) {
	const vms, perSecond, cost = 30, 60, 4_000
	limit := Limit{RatePerSecond: 2 * perSecond * cost, Burst: 2 * perSecond * cost}
	f := newFleet(vms, limit)
	for range 3 {
		f.relays = append(f.relays, NewRelay())
	}
	f.pool.StartTerm(f.term, start)
	random := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for i := range 5 * perSecond {
		now := start.Add(2*time.Second + time.Duration(i)*time.Second/perSecond)
		f.noLeader = i >= 4*perSecond
		if !f.send(random.IntN(vms), cost, true, now) {
			refused++
		}
	}
	if refused*4 > perSecond {
		t.Errorf("%d of %d requests are refused while there is no leader", refused, perSecond)
	}
}

// TestFirstRequestsAtOnce sends the first requests of an organisation through many
// VMs of one region at the same time: each waits for a draw while the draws of the
// others are under way. Together they are well within the limit, so that requests of
// another region must be admitted too.
func TestFirstRequestsAtOnce(t *testing.T) {
	const requests, cost = 40, 4_000
	limit := Limit{RatePerSecond: 400_000, Burst: 400_000}
	pool, relay := NewPool(), NewRelay()
	pool.StartTerm(1, start)
	now := start.Add(10 * time.Second)
	var orders []Order
	for range requests {
		granted, order := relay.Take("o", limit, cost, cost, now)
		if granted > 0 {
			t.Fatal("an empty relay has granted tokens")
		}
		orders = append(orders, order)
	}
	for i, order := range orders {
		tokens, wait := pool.Draw(1, "o", limit, order.Need, order.Want, now)
		if granted := relay.Pass("o", order, tokens, cost, cost, now); granted < cost {
			t.Fatalf("request %d gets %.0f tokens and is told to wait %v", i, granted, wait)
		}
	}
	if tokens, _ := pool.Draw(1, "o", limit, cost, cost, now); tokens < cost {
		t.Errorf("a request of another region gets %.0f tokens, though %.0f of %.0f are used", tokens, float64(requests*cost), poolShare*limit.Burst)
	}
}

// TestTokensSetAside lets two requests wait for draws at once. The tokens that the
// VM holds must count for one of them only.
func TestTokensSetAside(t *testing.T) {
	limit := Limit{RatePerSecond: 100_000, Burst: 100_000}
	l := NewLimiter()
	l.SetVMs(100)
	l.AddDrawn("o", limit, Order{}, 0, 3_000, true, start)
	_, first := l.Take("o", limit, 4_000, start)
	_, second := l.Take("o", limit, 4_000, start)
	if first.Need+second.Need != 5_000 {
		t.Fatalf("orders of %.0f and %.0f tokens, want 5000 together", first.Need, second.Need)
	}
	for i, order := range []Order{second, first} {
		if !l.AddDrawn("o", limit, order, 4_000, order.Need, true, start) {
			t.Errorf("request %d is refused, though the pool has granted what it needed", i)
		}
	}
}

// A wait that no duration holds must not turn into none.
func TestWaitBeyondDurationsIsRefused(t *testing.T) {
	p := NewPool()
	start := time.Unix(1_800_000_000, 0)
	p.StartTerm(1, start)
	limit := Limit{RatePerSecond: 1e-9, Burst: 1e300}
	if granted, wait := p.Draw(1, "o", limit, 1e200, 1e200, start); granted > 0 || wait <= 0 || 2*wait <= 0 {
		t.Errorf("granted %v, wait %v", granted, wait)
	}
}
