// Package linkbudget decides how much new work a VM takes so that its network link isn't
// overloaded.
//
// The load: requests arrive whose bodies and answers don't fit through the link. Its queue
// then delays dials, reservations and confirmations until they time out, and nothing is
// served. A request takes most of its bytes after it has been admitted: its body goes out to
// a target, and its answer comes in and goes out. So each request is charged when it is
// admitted with what such requests have cost, and the charge is corrected when it ends.
//
// First, no requests are taken from other VMs. Then callers' requests are refused. Each
// organisation gets its share of the headroom, so that one that sends several times its usual load
// costs itself only; of an organisation's requests, the less urgent ones are refused first. Running
// requests, coordination and control are only measured and never refused. Requests that are
// forwarded to another VM take no more of this VM's link than those that go to a target.
package linkbudget

import (
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/backlog"
)

// Window is the time between two updates.
const Window = 100 * time.Millisecond

// Directions of the link.
const (
	In = iota
	Out
	Directions
)

// percent is the number of hundredths in a whole.
const percent = 100

const (
	// targetShare is the part of the link's rate up to which work is taken. The rest is for
	// bursts within a window and errors of the estimates.
	targetShare = 0.85
	// leastShare is the part of the link's rate that new work always gets. The bodies of refused
	// requests arrive all the same: if these alone fill the link, refusing more of them would
	// leave nothing served and free nothing.
	leastShare = 0.3
	// burstTime is for how long work may arrive faster than the link's rate after a calm time.
	burstTime = 400 * time.Millisecond
	// settleTime is the time in which a queue or an overdrawn allowance is worked off.
	settleTime = 500 * time.Millisecond
	// demandTime, useTime and otherTime are the times over which demand, use of the link and
	// bytes that aren't charged to requests are averaged.
	demandTime = 500 * time.Millisecond
	useTime    = time.Second
	otherTime  = 2 * time.Second
	// maxQueueTime bounds the estimated queue.
	maxQueueTime = time.Second
	// forwardedUntil and forwardedAgain are the parts of the link's rate at which requests of
	// other VMs are no longer taken, and are taken again.
	forwardedUntil = 0.75
	forwardedAgain = 0.65
	// shedFrom is the demand, as a multiple of the headroom, at which shedding begins if half of the
	// allowance is used up. It ends when the demand fits. The allowance bounds what is taken in
	// between.
	shedFrom = 1.15
	// calmWindows is for how many windows the demand must fit before shedding ends, or the
	// link must have headroom before requests of other VMs are taken again.
	calmWindows = 5
	// shortestReturn and longestReturn bound when refused callers should return.
	shortestReturn = 250 * time.Millisecond
	longestReturn  = 2 * time.Second
)

// Budget decides on new work of one VM. A nil Budget takes all of it. Update must not be
// called concurrently with itself; all other methods are safe for concurrent use and take no
// lock.
type Budget struct {
	rate          float64      // bytes per second in each direction
	burst         float64      // largest allowance, bytes
	allowance     atomic.Int64 // bytes that may be charged now; negative if overdrawn
	charged       atomic.Int64 // net of corrections, since the start
	answers       answers
	organisations sync.Map // name to *organisation
	current       atomic.Pointer[decision]

	Shed     atomic.Int64 // callers' requests refused since the start
	NotTaken atomic.Int64 // requests not taken from another VM

	// The rest is used by Update only.
	updated       time.Time
	total         [Directions]int64
	chargedThen   int64
	use           [Directions]float64 // bytes per second
	other         [Directions]float64 // bytes per second that aren't charged to requests
	queue         float64             // bytes that wait to be sent
	scale         float64             // bytes that the link carries for each byte that is counted
	demand        float64             // bytes per second
	shedThen      int64
	calm          int // windows without shedding
	calmForwarded int // windows in which requests of other VMs could be taken
}

// decision is what applies until the next update.
type decision struct {
	shedding  bool
	forwarded bool    // requests of other VMs are taken
	excess    float64 // demand divided by what may be taken
	percent   [Directions]int64
}

// New returns a budget for a link with a rate in bytes per second in each direction.
func New(rate float64) *Budget {
	b := &Budget{rate: rate, scale: 1, burst: targetShare * rate * burstTime.Seconds()}
	b.allowance.Store(int64(b.burst))
	b.answers.reset()
	b.current.Store(&decision{forwarded: true})
	return b
}

// Request is a caller's request that may be taken.
type Request struct {
	Organisation string
	Weight       float64 // of the organisation, 0 for that of an average one
	Rank         int
	Body         int64 // bytes
	// Sample is a number from 0 to 1, evenly distributed over requests. The request is shed
	// unless it is below the admitted share of its organisation and rank.
	Sample float64
}

// Admit reports whether a request may be taken, and charges it: charge is passed to Settle at
// its end.
func (b *Budget) Admit(r Request) (charge int64, admitted bool) {
	if b == nil {
		return 0, true
	}
	rank := backlog.Clamp(r.Rank)
	cost := b.cost(r.Body)
	o := b.organisation(r.Organisation)
	o.offer(rank, cost, r.Weight)
	if r.Sample >= o.shares.Load()[rank] || !b.take(cost) {
		b.Shed.Add(1)
		return 0, false
	}
	return cost, true
}

// AdmitForwarded is Admit for a request that another VM has forwarded. It is refused first, as
// that VM has other ways.
func (b *Budget) AdmitForwarded(body int64) (charge int64, admitted bool) {
	if b == nil {
		return 0, true
	}
	cost := b.cost(body)
	if !b.current.Load().forwarded || !b.take(cost) {
		b.NotTaken.Add(1)
		return 0, false
	}
	return cost, true
}

// Settle replaces the charge of an admitted request with what it has really cost.
func (b *Budget) Settle(charge int64, w Work) {
	if b == nil {
		return
	}
	correction := w.bytes() - charge
	b.allowance.Add(-correction)
	b.charged.Add(correction)
	if w.Complete {
		b.answers.observe(w.Body, inParts(w.Answer, w.Parts))
	}
}

// cost returns what a request with a body is expected to take in each direction: the body
// comes in and goes out, and so does the answer.
func (b *Budget) cost(body int64) int64 {
	return inParts(max(0, body), 0) + headBytes + b.answers[sizeClass(body)].Load()
}

// take charges a cost if anything of the allowance is left. One request may overdraw it, as
// large ones would never be taken otherwise.
func (b *Budget) take(cost int64) bool {
	if b.allowance.Add(-cost)+cost <= 0 {
		b.allowance.Add(cost)
		return false
	}
	b.charged.Add(cost)
	return true
}

// ReturnAfter returns when refused callers should return, without jitter: the later, the more
// work is offered beyond what fits.
func (b *Budget) ReturnAfter() time.Duration {
	after := time.Duration(b.current.Load().excess * float64(shortestReturn))
	return min(max(shortestReturn, after), longestReturn)
}

// Shedding reports whether callers' requests are being refused.
func (b *Budget) Shedding() bool {
	return b != nil && b.current.Load().shedding
}

// TakesForwarded reports whether requests are taken from other VMs.
func (b *Budget) TakesForwarded() bool {
	return b == nil || b.current.Load().forwarded
}

// Percent returns the use of the link in a direction.
func (b *Budget) Percent(direction int) int64 {
	return b.current.Load().percent[direction]
}

// Excess returns the demand divided by what may be taken.
func (b *Budget) Excess() float64 {
	return b.current.Load().excess
}

// Update must be called once in each Window with the bytes that the link has carried in each
// direction since the start.
func (b *Budget) Update(total [Directions]int64, now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	first := b.updated.IsZero()
	b.updated = now
	if first || elapsed <= 0 {
		b.total, b.chargedThen = total, b.charged.Load()
		return
	}
	b.measure(total, elapsed)
	headroom := b.headroom()
	b.refill(headroom * elapsed)
	b.decide(headroom)
}

// measure updates the averages after a time in seconds.
func (b *Budget) measure(total [Directions]int64, elapsed float64) {
	charged := b.charged.Load()
	chargedRate := float64(charged-b.chargedThen) / elapsed
	b.chargedThen = charged
	for d := range Directions {
		bytes := float64(total[d]-b.total[d]) * b.scale
		average(&b.use[d], bytes/elapsed, elapsed, useTime)
		average(&b.other[d], bytes/elapsed-chargedRate, elapsed, otherTime)
		if d == Out {
			b.queue = min(max(0, b.queue+bytes-b.rate*elapsed), b.rate*maxQueueTime.Seconds())
		}
	}
	b.total = total
	b.calibrate()
	b.demand = 0
	for _, o := range b.active() {
		b.demand += o.measure(elapsed)
	}
}

// calibrate corrects the estimated overhead of packets: what has come in over a second was
// carried by the link, so that it can't be more than its rate.
func (b *Budget) calibrate() {
	if over := b.use[In] / b.rate; over > 1 {
		b.use[In] = b.rate
		b.scale /= over
	}
}

func average(value *float64, next, elapsed float64, over time.Duration) {
	*value += (next - *value) * min(1, elapsed/over.Seconds())
}

// headroom returns the bytes per second that new work may take.
func (b *Budget) headroom() (headroom float64) {
	headroom = targetShare * b.rate
	for d := range Directions {
		headroom = min(headroom, targetShare*b.rate-max(0, b.other[d]))
	}
	headroom -= b.queue / settleTime.Seconds()
	return max(leastShare*b.rate, headroom)
}

func (b *Budget) refill(bytes float64) {
	if over := float64(b.allowance.Add(int64(bytes))) - b.burst; over > 0 {
		b.allowance.Add(-int64(over))
	}
}

// decide sets what applies in the next window.
func (b *Budget) decide(headroom float64) {
	before := b.current.Load()
	allowance := float64(b.allowance.Load())
	// An allowance that is neither full nor used up can take the noise of single windows.
	headroom = max(headroom/2, headroom+(allowance-b.burst/2)/settleTime.Seconds())
	next := &decision{excess: b.demand / headroom}
	next.shedding = b.mustShed(before.shedding, headroom, allowance)
	next.forwarded = b.mayTakeForwarded(before.forwarded, next.shedding, allowance)
	if !next.shedding {
		headroom = max(headroom, b.demand)
	}
	b.distribute(headroom)
	for d := range Directions {
		next.percent[d] = int64(b.use[d] / b.rate * percent)
	}
	b.current.Store(next)
}

// mustShed reports whether callers' requests are refused in the next window. It must be called
// once in each window.
func (b *Budget) mustShed(shedding bool, headroom, allowance float64) bool {
	b.calm++
	shed := b.Shed.Load()
	if shed > b.shedThen || b.demand > headroom && shedding || b.demand > shedFrom*headroom && allowance < b.burst/2 {
		b.calm = 0
	}
	b.shedThen = shed
	return b.calm == 0 || shedding && b.calm < calmWindows
}

// mayTakeForwarded reports whether requests of other VMs are taken in the next window. It must
// be called once in each window.
func (b *Budget) mayTakeForwarded(taken, shedding bool, allowance float64) bool {
	limit := forwardedAgain
	if taken {
		limit = forwardedUntil
	}
	b.calmForwarded++
	if shedding || max(b.use[In], b.use[Out])/b.rate >= limit || allowance <= 0 {
		b.calmForwarded = 0
	}
	return b.calmForwarded > 0 && (taken || b.calmForwarded >= calmWindows)
}
