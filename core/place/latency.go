package place

import (
	"math"
	"time"

	"kingcuprill/core/backlog"
)

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
	speed           backlog.Speed // of all targets, where requests are served by rank
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

// prediction is the predicted time until a target begins to answer a request.
type prediction struct {
	total   time.Duration
	reading time.Duration // of it, until the target has read the request's prompt
}

// predict returns the predicted time until the target begins to answer a new request of
// a rank with this work in tokens. If requests wait there for longer than stallFactor
// times their predicted time, the longest excess is added.
func (p *Placer) predict(t *Target, service string, rank, work int, now time.Time) prediction {
	first := p.baseTime(t, service, rank, now)
	reading := p.readingTime(t, service, rank, work, now)
	stall := time.Duration(0)
	for a := range t.waiting {
		if a.rank > rank || t.answeredLater(a) {
			continue
		}
		stall = max(stall, now.Sub(a.begun)-stallFactor*a.predicted)
	}
	return prediction{total: max(0, first) + reading + stall, reading: reading}
}

// baseTime returns the part of the predicted time that doesn't depend on the work that
// waits at a target.
//
// By rank, a long average expires also at a busy target. Otherwise, one that had kept less
// urgent requests waiting would get none of them any more that could show it is faster now.
func (p *Placer) baseTime(t *Target, service string, rank int, now time.Time) time.Duration {
	base, usual := t.base[rank], p.model(service).base
	age := now.Sub(base.at)
	switch {
	case base.at.IsZero() || t.inFlight == 0 && age > baseExpiry:
		return usual
	case p.ByRank && base.average > usual:
		return usual + time.Duration(float64(base.average-usual)*math.Exp(-max(0, age.Seconds())/baseExpiry.Seconds()))
	}
	return base.average
}

// readingTime returns the time that the target needs for the prompts of the requests that
// it serves before a new one, and for that one's.
func (p *Placer) readingTime(t *Target, service string, rank, work int, now time.Time) time.Duration {
	tokenTime := p.tokenTime(service)
	if !p.ByRank {
		return tokenTime * time.Duration(t.pending+work)
	}
	return t.backlog.Wait(rank, work, tokenTime, now)
}

// tokenTime returns the estimated time per token of work at the targets of a service.
func (p *Placer) tokenTime(service string) time.Duration {
	model := p.model(service)
	if p.ByRank {
		return model.speed.TokenTime(defaultTokenTime)
	}
	return model.tokenTime()
}

// observe updates the estimates with the latency of an answer that has begun.
func (p *Placer) observe(a *Assignment, took time.Duration, now time.Time) {
	model := p.model(a.service)
	rest := took - a.reading
	if !p.ByRank {
		model.observe(a.workAhead, took)
		rest = took - model.tokenTime()*time.Duration(a.workAhead)
	}
	a.Target.base[a.rank].observe(rest, now)
	model.base += time.Duration(baseWeight / 2 * float64(rest-model.base))
}

// observeWait updates the estimates with the time that a request has waited without an
// answer, if that is longer than was predicted. Otherwise the requests that were overtaken
// until their callers left would count for nothing.
func (p *Placer) observeWait(a *Assignment, now time.Time) {
	rest := now.Sub(a.begun) - a.reading
	if base := &a.Target.base[a.rank]; p.ByRank && rest > base.average {
		base.observe(rest, now)
	}
}

// answeredLater reports whether the target has answered a request that was sent
// after this one, so that it isn't stalled although this one still waits.
//
// More urgent requests that were sent later may well be answered earlier.
func (t *Target) answeredLater(a *Assignment) bool {
	for _, newest := range t.newestAnswered[a.rank:] {
		if a.begun.Before(newest) {
			return true
		}
	}
	return false
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
