package place

import "time"

const (
	// plainWork is the work of a request that tells no prompt, in tokens.
	plainWork = 2000
	// startSlope and startBase are assumed before anything was seen: the time for
	// a prompt token, and the time that doesn't depend on the prompt.
	startSlope = 9 * time.Microsecond
	startBase  = 60 * time.Millisecond
	// leastSlope and mostSlope bound what is learned for a prompt token.
	leastSlope = time.Microsecond
	mostSlope  = 40 * time.Microsecond
	// baseWeight is the weight of one more answer in the average.
	baseWeight = 0.2
	// baseFades is the time without answers after which what was seen of an idle
	// target counts no more.
	baseFades = 1500 * time.Millisecond
	// samplesKept is the number of answers over which the slope is learned.
	samplesKept = 200.0
	// lostFactor is how many times its predicted time a request waits, and
	// lostAfter how long at least, until its answer counts as lost if the target
	// has answered a later one.
	lostFactor = 4
	lostAfter  = 250 * time.Millisecond
	// stallFactor is how many times its predicted time a request may wait before
	// its target counts as stalled.
	stallFactor = 2
)

// slope learns how long the targets of a service take for a token of work, by
// linear regression with exponential forgetting.
type slope struct {
	n, x, y, xx, xy float64
	base            time.Duration // average of all targets
}

func (s *slope) observe(work int, took time.Duration) {
	const keep = 1 - 1/samplesKept
	x, y := float64(work), float64(took)
	s.n, s.x, s.y = s.n*keep+1, s.x*keep+x, s.y*keep+y
	s.xx, s.xy = s.xx*keep+x*x, s.xy*keep+x*y
}

// perToken returns the time for a token of work.
func (s *slope) perToken() time.Duration {
	const fewSamples = 20
	variance := s.n*s.xx - s.x*s.x
	if s.n < fewSamples || variance <= 0 {
		return startSlope
	}
	learned := time.Duration((s.n*s.xy - s.x*s.y) / variance)
	return min(max(learned, leastSlope), mostSlope)
}

// base is the time that a target takes beside the work that this VM has sent:
// for its first step, and for the work of other VMs.
type base struct {
	average time.Duration
	at      time.Time // of the last answer, zero before the first
}

func (b *base) observe(took time.Duration, now time.Time) {
	if b.at.IsZero() {
		b.average = took
	}
	b.average += time.Duration(baseWeight * float64(took-b.average))
	b.at = now
}

// predict returns how long a target takes until it begins to answer a request
// of some work.
func (t *Target) predict(work int, usual *slope, now time.Time) time.Duration {
	first := t.base.average
	if t.base.at.IsZero() || (t.inFlight == 0 && now.Sub(t.base.at) > baseFades) {
		first = usual.base
	}
	predicted := max(0, first) + usual.perToken()*time.Duration(t.pending+work)
	stall := time.Duration(0)
	for v := range t.waiting {
		if t.overtook(v) {
			continue
		}
		stall = max(stall, now.Sub(v.begun)-stallFactor*v.predicted)
	}
	return predicted + stall
}

// observe learns from an answer that began.
func (t *Target) observe(work int, took time.Duration, usual *slope, now time.Time) {
	usual.observe(work, took)
	rest := took - usual.perToken()*time.Duration(work)
	t.base.observe(rest, now)
	usual.base += time.Duration(baseWeight / 2 * float64(rest-usual.base))
}

// overtook tells whether the target has answered a request that came later, so
// that it goes on although this one waits.
func (t *Target) overtook(v *Visit) bool {
	return v.begun.Before(t.newest)
}

// lost counts the requests whose answers will not come. They take no slot.
//
// The load pattern it answers: a target that loses a few of its answers. Without
// this, the requests that wait for them fill its places until their deadlines,
// and it seems to have stalled.
func (t *Target) lost(now time.Time) (count int) {
	for v := range t.waiting {
		if t.overtook(v) && now.Sub(v.begun) > max(lostAfter, lostFactor*v.predicted) {
			count++
		}
	}
	return count
}
