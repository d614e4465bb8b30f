package front

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcuprill/core/linkbudget"
	"kingcuprill/core/quota"
)

const (
	// linkReason is the reason of refusals because this VM's network link is full.
	linkReason = "link_full"
	// keptBody is the largest body that is read after a refusal so that its connection can be
	// used again: such bodies have mostly arrived by then.
	keptBody = 64 << 10 // bytes
	// samplePeriod is the time in which the sample of a request with a prompt falls from 1 to
	// 0. One that is shed should return after returnShare of the rest of the period, when its
	// sample is low.
	samplePeriod = 1200 * time.Millisecond
	returnShare  = 0.9
)

// linkUse is what a request takes of the link, over all its tries. A nil linkUse counts
// nothing.
type linkUse struct {
	charge        int64
	sent          atomic.Int64 // times that the body was sent
	answer, parts atomic.Int64
	complete      atomic.Bool
}

func (u *linkUse) countSent() {
	if u != nil {
		u.sent.Add(1)
	}
}

func (u *linkUse) countAnswer(bytes int) {
	if u != nil {
		u.answer.Add(int64(bytes))
		u.parts.Add(1)
	}
}

func (u *linkUse) noteComplete() {
	if u != nil {
		u.complete.Store(true)
	}
}

// admitToLink refuses the request if the link has no headroom for its body and its answer. That
// must be known before the body is read and before any other VM is asked.
func (x *exchange) admitToLink() *refusal {
	budget := x.server.Link
	if budget == nil {
		return nil
	}
	var admitted bool
	use, body := &linkUse{}, x.caller.ContentLength
	if x.from != "" {
		use.charge, admitted = budget.AdmitForwarded(body)
	} else {
		use.charge, admitted = budget.Admit(linkbudget.Request{
			Organisation: x.organisation.Name, Weight: x.organisation.RatePerSecond, Rank: x.rank(), Body: body, Sample: x.linkSample(time.Now()),
		})
	}
	if !admitted {
		return x.linkRefusal(budget)
	}
	x.use = use
	return nil
}

// linkSample returns a number from 0 to 1; the lower, the rather the request is admitted. That of
// a request with a prompt falls from 1 to 0 in each samplePeriod, with an offset by its own part
// of the prompt. One that is shed is told to return when its sample is low, so that returning
// requests are spread evenly over time, and are not shed again in favour of new ones.
func (x *exchange) linkSample(now time.Time) float64 {
	if len(x.demand.Parts) == 0 {
		return rand.Float64()
	}
	own := xxhash.Sum64String(x.demand.Parts[len(x.demand.Parts)-1].ID)
	offset := time.Duration(own % uint64(samplePeriod))
	left := samplePeriod - (time.Duration(now.UnixNano()%int64(samplePeriod))+offset)%samplePeriod
	return left.Seconds() / samplePeriod.Seconds()
}

func (x *exchange) linkRefusal(budget *linkbudget.Budget) *refusal {
	if x.caller.ContentLength > keptBody {
		x.writer.Header().Set("Connection", "close")
	}
	after := budget.ReturnAfter()
	after += time.Duration(rand.Int64N(int64(after)))
	if len(x.demand.Parts) > 0 && x.from == "" {
		after = time.Duration(x.linkSample(time.Now()) * returnShare * float64(samplePeriod))
	}
	after = min(after, time.Until(x.deadline)/retryAfterDivisor)
	return &refusal{status: http.StatusServiceUnavailable, reason: linkReason, retryAfter: after, notRun: true}
}

// settleLink replaces what the request was expected to take of the link with what it took.
func (x *exchange) settleLink() {
	use := x.use
	if use == nil {
		return
	}
	x.server.Link.Settle(use.charge, linkbudget.Work{
		Body: x.body.Size(), Sent: use.sent.Load(), Answer: use.answer.Load(), Parts: use.parts.Load(), Complete: use.complete.Load(),
	})
}

// knownLimit refuses the request if it is over its organisation's limit by what this VM knows,
// without a call. The wait has jitter, so that callers don't all return at once.
func (x *exchange) knownLimit() *refusal {
	if x.cost == 0 {
		return nil
	}
	o := x.organisation
	wait := x.server.Drawer.Wait(o.Name, quota.Limit{RatePerSecond: o.RatePerSecond, Burst: o.Burst}, x.cost, time.Now())
	if wait <= 0 {
		return nil
	}
	x.server.Metrics.RateLimited.Inc(1)
	wait += time.Duration(rand.Int64N(int64(wait)/2 + 1))
	x.cost = 0 // nothing is to be refunded
	return &refusal{status: http.StatusTooManyRequests, reason: overLimit, retryAfter: wait, notRun: true}
}
