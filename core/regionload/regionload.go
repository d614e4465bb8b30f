// Package regionload predicts how soon other regions begin to answer requests, and decides
// which requests of a busy region go there.
//
// At its peak a region receives more than its own targets can read, while others are nearly
// idle. A request that waits for its region to be full has lost most of its time by then.
// An entry VM therefore remembers the predictions that came back with the requests it has
// forwarded, and names a time with each reservation: if the region's own prediction is
// longer, the request leaves.
//
// Many VMs decide for the same regions by the same predictions. Each draws at random within
// a spread around the time, so that the share of requests that leave grows steadily with
// the difference, and adds the work that it and its neighbours have sent to a region since
// the prediction was made.
package regionload

import (
	"math"
	"sync"
	"time"
)

const (
	// RoundTrip is the network latency of a request to another region and of its answer,
	// assumed to be the same for all pairs of regions.
	RoundTrip = 110 * time.Millisecond
	// freshFor is the age up to which a prediction counts fully.
	freshFor = 2 * time.Second
	// ageing is the time in which the weight of an older prediction falls to 1/e.
	ageing = 2 * time.Second
	// averagingTime is the time in which the weight of earlier predictions falls to 1/e.
	averagingTime = 300 * time.Millisecond
	// minWeight is the least weight of a new prediction in the average.
	minWeight = 0.2
	// trialShare is the share of the requests of a busy region that try one whose
	// prediction is unknown or old.
	trialShare = 0.1
	// unknownShare is the share of the objective after which an unknown region is assumed
	// to begin to answer, in addition to reading the prompt.
	unknownShare = 0.25
	// maxKinds bounds the kinds of requests that are kept apart.
	maxKinds = 1 << 12
)

// Kind is a kind of requests in one other region. Ranks are kept apart, since engines that
// serve the most urgent requests first keep them fast while the others wait.
type Kind struct {
	Region  string
	Service string
	Rank    int
}

// Table holds what one VM knows of the other regions. The zero value knows nothing. It is
// safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	kinds map[Kind]*estimate
}

// estimate is what is known of one kind.
type estimate struct {
	wait        time.Duration       // predicted until the answer begins, without reading the prompt
	at          time.Time           // when it was learned, zero if it is unknown
	sent        time.Duration       // work sent since the start, as time of the region's targets
	covered     time.Duration       // of it, what the prediction includes
	trialCredit float64             // requests that may try the region now, at most 1
	unanswered  []*ForwardedRequest // without an answer, and sent after the newest that has one
}

// Need is what a request needs in another region.
type Need struct {
	Reading   time.Duration // of the prompt, without the parts that the region needn't read again
	Objective time.Duration // within which its answer should begin
}

// Prediction is what is known of a region for one request.
type Prediction struct {
	Begin time.Duration // until the answer begins, without network latency
	Fresh bool          // it can be relied on
	// Trial says that it isn't fresh, and that the request may try the region.
	Trial bool
}

// Predict returns what is known of a region for a request.
func (t *Table) Predict(k Kind, need Need, now time.Time) (p Prediction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	unknown := time.Duration(unknownShare * float64(need.Objective))
	e := t.kinds[k]
	if e == nil {
		return Prediction{Begin: unknown + need.Reading, Trial: true}
	}
	wait := unknown
	if !e.at.IsZero() {
		weight := math.Exp(-max(0, now.Sub(e.at)-freshFor).Seconds() / ageing.Seconds())
		wait = unknown + time.Duration(weight*float64(e.wait-unknown))
	}
	p.Begin = max(wait+e.added(now), e.overdue(now)) + need.Reading
	p.Fresh = e.fresh(now)
	p.Trial = !p.Fresh && len(e.unanswered) == 0 && e.trialCredit >= 1
	return p
}

func (e *estimate) fresh(now time.Time) bool {
	return !e.at.IsZero() && now.Sub(e.at) <= freshFor
}

// added returns the work sent since the prediction was made that the region can't have done
// yet.
func (e *estimate) added(now time.Time) time.Duration {
	since := e.at
	if len(e.unanswered) > 0 && since.Before(e.unanswered[0].sentAt) {
		since = e.unanswered[0].sentAt
	}
	return max(0, e.sent-e.covered-max(0, now.Sub(since)))
}

// overdue returns how long the request has waited in the region that has waited longest
// without a later one being answered. Answers carry their predictions, so that long ones
// are learned late.
func (e *estimate) overdue(now time.Time) time.Duration {
	if len(e.unanswered) == 0 {
		return 0
	}
	oldest := e.unanswered[0]
	return max(0, now.Sub(oldest.sentAt)-RoundTrip-oldest.reading)
}

// Skip records that a request hasn't tried a region since no trial was allowed.
func (t *Table) Skip(k Kind, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.kinds[k]; e != nil && !e.fresh(now) {
		e.trialCredit = min(1, e.trialCredit+trialShare)
	}
}

// ForwardedRequest is a request that was sent to another region.
type ForwardedRequest struct {
	table   *Table
	kind    Kind
	sentAt  time.Time
	sent    time.Duration // work sent, this request included
	reading time.Duration
}

// Send records that a request is sent to a region. reading is the time that a target there
// reads it, load by how much it and those that the neighbours of this VM send meanwhile
// delay others. End must be called on the result.
func (t *Table) Send(k Kind, reading, load time.Duration, now time.Time) *ForwardedRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.estimate(k)
	if !e.fresh(now) {
		e.trialCredit = max(0, e.trialCredit-1)
	}
	if len(e.unanswered) == 0 && !e.fresh(now) {
		e.covered = e.sent
	}
	e.sent += load
	f := &ForwardedRequest{table: t, kind: k, sentAt: now, sent: e.sent, reading: reading}
	e.unanswered = append(e.unanswered, f)
	return f
}

func (t *Table) estimate(k Kind) *estimate {
	if t.kinds == nil || len(t.kinds) >= maxKinds && t.kinds[k] == nil {
		t.kinds = map[Kind]*estimate{}
	}
	e := t.kinds[k]
	if e == nil {
		e = &estimate{trialCredit: 1}
		t.kinds[k] = e
	}
	return e
}

// Learn records the prediction that came back with an answer or a refusal.
func (f *ForwardedRequest) Learn(predicted time.Duration, now time.Time) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	e := f.table.estimate(f.kind)
	wait := max(0, predicted-f.reading)
	weight := 1.0
	if !e.at.IsZero() {
		weight = max(minWeight, 1-math.Exp(-now.Sub(e.at).Seconds()/averagingTime.Seconds()))
	}
	e.wait += time.Duration(weight * float64(wait-e.wait))
	e.at = now
	e.covered = min(e.sent, max(e.covered, f.sent))
	for len(e.unanswered) > 0 && !e.unanswered[0].sentAt.After(f.sentAt) {
		e.unanswered = e.unanswered[1:]
	}
}

// Refused records that the region has no room for the request: a prediction at or above the
// objective, if the refusal carried none.
func (f *ForwardedRequest) Refused(predicted, objective time.Duration, now time.Time) {
	f.Learn(max(predicted, objective+f.reading), now)
}

// End must be called when the request has ended, whether anything was learned or not.
func (f *ForwardedRequest) End() {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	e := f.table.kinds[f.kind]
	if e == nil {
		return
	}
	for i, waiting := range e.unanswered {
		if waiting == f {
			e.unanswered = append(e.unanswered[:i:i], e.unanswered[i+1:]...)
			return
		}
	}
}
