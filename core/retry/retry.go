// Package retry bounds how many requests are tried again, so that retries
// can't multiply the load of a failure.
package retry

import "sync/atomic"

const (
	defaultRatio   = 200   // thousandths of a retry for each request
	defaultLargest = 20000 // thousandths of a retry
	costOfRetry    = 1000  // thousandths of a retry
)

// Budget is the retry budget of one route. Requests add to it, retries take
// from it. The zero value has a fifth of a retry for each request and 20 at most.
type Budget struct {
	Ratio int64 // thousandths of a retry for each request

	most  atomic.Int64 // thousandths of a retry, 0 for the default
	spent atomic.Int64 // thousandths of a retry below the largest budget
}

func (b *Budget) ratio() int64 {
	if b.Ratio == 0 {
		return defaultRatio
	}
	return b.Ratio
}

func (b *Budget) largest() int64 {
	if most := b.most.Load(); most > 0 {
		return most
	}
	return defaultLargest
}

// SetLargest bounds the retries in hand, in thousandths. What is beyond the
// bound is lost.
func (b *Budget) SetLargest(thousandths int64) {
	b.most.Store(thousandths)
}

// Request adds the credit of a new request.
func (b *Budget) Request() {
	for {
		spent := b.spent.Load()
		if b.spent.CompareAndSwap(spent, max(0, spent-b.ratio())) {
			return
		}
	}
}

// Retry takes the cost of a retry. It returns false when the budget is used up.
func (b *Budget) Retry() bool {
	for {
		spent := b.spent.Load()
		if spent+costOfRetry > b.largest() {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+costOfRetry) {
			return true
		}
	}
}

// Available tells whether a retry could be taken now. It takes nothing.
func (b *Budget) Available() bool {
	return b.spent.Load()+costOfRetry <= b.largest()
}
