package linkbudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"kingcuprill/core/backlog"
)

const (
	testRate   = 1_250_000.0 // bytes per second
	testBody   = 12_000      // bytes
	testAnswer = 6_000       // bytes
	testParts  = 40
	testStream = 2 * time.Second // duration of an answer
	headOnly   = 700             // bytes of a refused request and its answer
	step       = time.Millisecond
)

// replay is a link in virtual time with requests of which each takes its body at once and
// its answer over testStream.
type replay struct {
	budget   *Budget
	random   *rand.Rand
	now      time.Time
	carried  [Directions]int64
	queue    [Directions]float64 // bytes
	streams  []time.Time         // ends of answers
	charges  []int64
	byRank   [backlog.Ranks]struct{ offered, admitted float64 }
	refused  float64 // bytes
	longest  time.Duration
	requests int
	refusal  int64 // bytes in of a refused request
}

func newReplay(seed uint64) *replay {
	return &replay{budget: New(testRate), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), refusal: headOnly}
}

// fits is the number of requests in a second that the budget's share of the link carries.
func fits() float64 {
	return targetShare * testRate / float64(inParts(testBody, 0)+headBytes+inParts(testAnswer, testParts))
}

// run offers requests at a multiple of what fits, and returns how many were admitted in a
// second. background is the rate of control and coordination in bytes per second.
func (r *replay) run(load, background float64, duration time.Duration) (rate float64) {
	admitted := 0.0
	for until := r.now.Add(duration); r.now.Before(until); r.now = r.now.Add(step) {
		chance := load * fits() * step.Seconds()
		for ; r.random.Float64() < min(chance, 1); chance-- {
			admitted += r.arrive(r.random.IntN(3) * 3)
		}
		r.carry(background * step.Seconds())
	}
	return admitted / duration.Seconds()
}

func (r *replay) arrive(rank int) float64 {
	r.byRank[rank].offered++
	r.requests++
	charge, admitted := r.budget.Admit(Request{Rank: rank, Body: testBody, Sample: r.random.Float64()})
	if !admitted {
		r.refused += headOnly
		r.send(float64(r.refusal), headOnly)
		return 0
	}
	r.byRank[rank].admitted++
	r.streams, r.charges = append(r.streams, r.now.Add(testStream)), append(r.charges, charge)
	work := float64(inParts(testBody, 0) + headBytes)
	r.send(work, work)
	return 1
}

func (r *replay) send(in, out float64) {
	for d, bytes := range [Directions]float64{in, out} {
		r.queue[d] += bytes
		r.longest = max(r.longest, time.Duration(r.queue[d]/testRate*float64(time.Second)))
	}
}

// carry lets the link carry a step of what waits. Bytes out count when they are sent, bytes
// in when they have come.
func (r *replay) carry(background float64) {
	answers := float64(len(r.streams)) * float64(inParts(testAnswer, testParts)) * step.Seconds() / testStream.Seconds()
	r.send(answers+background, answers+background)
	for len(r.streams) > 0 && r.streams[0].Before(r.now) {
		r.budget.Settle(r.charges[0], Work{Body: testBody, Sent: 1, Answer: testAnswer, Parts: testParts, Complete: true})
		r.streams, r.charges = r.streams[1:], r.charges[1:]
	}
	for d := range r.queue {
		bytes := min(r.queue[d], testRate*step.Seconds())
		r.queue[d] -= bytes
		r.carried[d] += int64(bytes)
	}
	if r.now.UnixMilli()%Window.Milliseconds() == 0 {
		total := r.carried
		total[Out] += int64(r.queue[Out])
		r.budget.Update(total, r.now)
	}
}

// Guards against a collapse under load: what is served must stay near the most that fits, and
// the link's queue short enough for dials and confirmations.
func TestServedUnderLoad(t *testing.T) {
	for _, load := range []float64{1, 2, 4, 8} {
		r := newReplay(uint64(load))
		r.run(0.5, 0, 4*time.Second)
		r.run(load, 0, 4*time.Second)
		before, arrived := r.refused, r.requests
		const seconds = 10
		served := r.run(load, 0, seconds*time.Second)
		most := fits() * (1 - (r.refused-before)/seconds/(targetShare*testRate))
		most = min(most, float64(r.requests-arrived)/seconds)
		t.Logf("load %v: %.1f of %.1f requests/s are served, longest queue %v", load, served, most, r.longest)
		if served < 0.9*most {
			t.Errorf("load %v: %.1f requests/s are served, %.1f fit", load, served, most)
		}
		if r.longest > 400*time.Millisecond {
			t.Errorf("load %v: the link's queue was %v long", load, r.longest)
		}
		r.run(0.5, 0, 2*time.Second)
		shed := r.budget.Shed.Load()
		r.run(0.5, 0, 2*time.Second)
		if r.budget.Shed.Load() > shed || !r.budget.TakesForwarded() {
			t.Errorf("load %v: 2 s after the load requests are shed or not taken from other VMs", load)
		}
	}
}

// Guards against a VM that serves nothing while the bodies of refused requests fill its link.
func TestRefusedBodiesLeaveService(t *testing.T) {
	r := newReplay(1)
	r.refusal = testBody
	r.run(4, 0, 4*time.Second)
	if served := r.run(4, 0, 10*time.Second); served < 0.9*leastShare/targetShare*fits() {
		t.Errorf("%.1f requests/s are served, %.1f fit", served, fits())
	}
}

// Guards against ranks that are starved or served less than less urgent ones.
func TestRanksUnderLoad(t *testing.T) {
	r := newReplay(1)
	r.run(4, 0, 2*time.Second)
	clear(r.byRank[:])
	r.run(4, 0, 20*time.Second)
	var share [backlog.Ranks]float64
	offered, admitted := 0.0, 0.0
	for rank, count := range r.byRank {
		share[rank] = count.admitted / max(1, count.offered)
		offered, admitted = offered+count.offered, admitted+count.admitted
	}
	if share[0] < share[3] || share[3] < share[6]-0.05 || share[6] < admitted/offered/4 {
		t.Errorf("shares are %v, all together %.2f", share, admitted/offered)
	}
}

// Guards against work that takes the headroom of coordination and control: these aren't asked,
// and callers' work must make way for them.
func TestControlGoesFirst(t *testing.T) {
	r := newReplay(1)
	r.run(2, 0.3*testRate, 4*time.Second)
	r.longest = 0
	r.run(2, 0.3*testRate, 10*time.Second)
	if r.longest > 200*time.Millisecond {
		t.Errorf("control traffic has waited %v behind work", r.longest)
	}
}

// Guards against callers' requests that are shed while requests of other VMs are taken.
func TestForwardedRequestsAreRefusedFirst(t *testing.T) {
	r := newReplay(1)
	r.run(0.6, 0, 5*time.Second)
	if !r.budget.TakesForwarded() || r.budget.Shed.Load() > 0 {
		t.Error("requests of other VMs aren't taken, or callers' are shed, while there is headroom")
	}
	windows, arrived := 0, r.requests
	for range 100 {
		r.run(0.93, 0, Window)
		if _, admitted := r.budget.AdmitForwarded(testBody); !admitted {
			windows++
		}
	}
	shed, offered := r.budget.Shed.Load(), int64(r.requests-arrived)
	if windows < 60 || shed > offered/20 {
		t.Errorf("requests of other VMs aren't taken in %d of 100 windows, and %d of %d requests are shed", windows, shed, offered)
	}
}

// Guards against settings without a link rate that change anything.
func TestNoBudget(t *testing.T) {
	var off *Budget
	if _, admitted := off.Admit(Request{Rank: 9, Body: 1 << 30, Sample: 1}); !admitted || !off.TakesForwarded() {
		t.Error("a VM without a budget refuses")
	}
	off.Settle(0, Work{})
}

// The estimated overhead of packets was too high, so that a link that was just full seemed to
// carry more than its rate, and nearly all requests were shed for the queue that this implied.
func TestOverheadIsCalibrated(t *testing.T) {
	b := New(testRate)
	now := time.Unix(1_800_000_000, 0)
	counted := [Directions]int64{}
	for range 100 {
		now = now.Add(Window)
		counted[In] += int64(1.2 * testRate * Window.Seconds())
		b.Update(counted, now)
	}
	if used := b.Percent(In); used > percent {
		t.Errorf("the link is used by %d%%", used)
	}
	if b.scale > 1/1.15 {
		t.Errorf("a counted byte stands for %.2f bytes, want %.2f", b.scale, 1/1.2)
	}
}

// An organisation that sent several times its usual load took the headroom of all others.
func TestAFloodCostsItsOrganisationOnly(t *testing.T) {
	b := New(testRate)
	random := rand.New(rand.NewPCG(5, 1))
	now := time.Unix(1_800_000_000, 0)
	var offered, admitted [5]float64
	const cost = 20_000 // bytes, about that of a request
	for window := range 200 {
		for o := range offered {
			count := 0.15 * testRate * Window.Seconds() / cost
			if o == 0 {
				count *= 6.5
			}
			for ; random.Float64() < count; count-- {
				_, taken := b.Admit(Request{Organisation: string(rune('a' + o)), Weight: 1000, Rank: o % 2, Body: testBody, Sample: random.Float64()})
				if window < 20 {
					continue
				}
				offered[o]++
				if taken {
					admitted[o]++
				}
			}
		}
		now = now.Add(Window)
		b.Update([Directions]int64{}, now)
	}
	t.Logf("taken %v of %v", admitted, offered)
	for o := 1; o < len(offered); o++ {
		if admitted[o] < 0.9*offered[o] {
			t.Errorf("organisation %d: %v of %v requests are taken beside a flood", o, admitted[o], offered[o])
		}
	}
	if admitted[0] < 0.9*admitted[1] {
		t.Errorf("the flooding organisation gets %v, less than the others, %v", admitted[0], admitted[1])
	}
}
