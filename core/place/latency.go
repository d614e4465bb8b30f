package place

import "time"

const (
	// defaultWork is the work of a request without prompt length, in tokens.
	defaultWork = 2000
	// defaultTokenTime and defaultBase hold until enough answers were observed:
	// the time per prompt token, and the time that doesn't depend on the prompt.
	defaultTokenTime = 9 * time.Microsecond
	defaultBase      = 60 * time.Millisecond
	// minTokenTime and maxTokenTime bound the estimated time per prompt token.
	minTokenTime = time.Microsecond
	maxTokenTime = 40 * time.Microsecond
	// baseWeight is the weight of a new answer in the moving average.
	baseWeight = 0.2
	// baseExpiry is the time without answers after which the average of an idle
	// target is no longer used.
	baseExpiry = 1500 * time.Millisecond
	// sampleWindow is the number of answers over which the regression averages.
	sampleWindow = 200.0
	// An answer counts as lost once the target has answered a later request and
	// this one has waited for lostFactor times its predicted time, and for
	// lostMinWait at least.
	lostFactor  = 4
	lostMinWait = 250 * time.Millisecond
	// stallFactor is the multiple of its predicted time that a request may wait
	// before its target counts as stalled.
	stallFactor = 2
)

// latencyModel estimates the time that the targets of a service take per token
// of work, by linear regression of time over work with exponential decay.
type latencyModel struct {
	n, x, y, xx, xy float64
	base            time.Duration // base latency, moving average over all targets
	size            float64       // of the requests, moving average
	errors          errorRate     // of all targets
}

func (m *latencyModel) observe(work int, took time.Duration) {
	const keep = 1 - 1/sampleWindow
	x, y := float64(work), float64(took)
	m.n, m.x, m.y = m.n*keep+1, m.x*keep+x, m.y*keep+y
	m.xx, m.xy = m.xx*keep+x*x, m.xy*keep+x*y
}

// tokenTime returns the estimated time per token of work.
func (m *latencyModel) tokenTime() time.Duration {
	const fewSamples = 20
	variance := m.n*m.xx - m.x*m.x
	if m.n < fewSamples || variance <= 0 {
		return defaultTokenTime
	}
	learned := time.Duration((m.n*m.xy - m.x*m.y) / variance)
	return min(max(learned, minTokenTime), maxTokenTime)
}

// baseLatency is the time that a target takes in addition to the work that this
// VM has sent: for its first step, and for the work of other VMs.
type baseLatency struct {
	average time.Duration
	at      time.Time // of the last answer, zero before the first
}

func (b *baseLatency) observe(took time.Duration, now time.Time) {
	if b.at.IsZero() {
		b.average = took
	}
	b.average += time.Duration(baseWeight * float64(took-b.average))
	b.at = now
}

// predict returns the predicted time until the target begins to answer a new
// request with this work in tokens. If requests wait there for longer than
// stallFactor times their predicted time, the longest excess is added.
func (t *Target) predict(work int, model *latencyModel, now time.Time) time.Duration {
	first := t.base.average
	if t.base.at.IsZero() || (t.inFlight == 0 && now.Sub(t.base.at) > baseExpiry) {
		first = model.base
	}
	predicted := max(0, first) + model.tokenTime()*time.Duration(t.pending+work)
	stall := time.Duration(0)
	for a := range t.waiting {
		if t.answeredLater(a) {
			continue
		}
		stall = max(stall, now.Sub(a.begun)-stallFactor*a.predicted)
	}
	return predicted + stall
}

// observe updates the estimates with the latency of an answer that has begun.
func (t *Target) observe(work int, took time.Duration, model *latencyModel, now time.Time) {
	model.observe(work, took)
	rest := took - model.tokenTime()*time.Duration(work)
	t.base.observe(rest, now)
	model.base += time.Duration(baseWeight / 2 * float64(rest-model.base))
}

// answeredLater reports whether the target has answered a request that was sent
// after this one, so that it isn't stalled although this one still waits.
func (t *Target) answeredLater(a *Assignment) bool {
	return a.begun.Before(t.newestAnswered)
}

// lost returns the number of requests whose answers are considered lost. They
// don't count against the slots.
//
// Otherwise, if a target loses a few of its answers, the requests that wait for
// them occupy its slots until their deadlines, and it appears to have stalled.
func (t *Target) lost(now time.Time) (count int) {
	for a := range t.waiting {
		if t.answeredLater(a) && now.Sub(a.begun) > max(lostMinWait, lostFactor*a.predicted) {
			count++
		}
	}
	return count
}
