// Package retry implements retry budgets. The number of retries is bounded by a
// share of the number of requests, so that retries don't multiply the load during
// a failure.
package retry

import "sync/atomic"

const (
	defaultRatio   = 200   // thousandths of a retry for each request
	defaultLargest = 20000 // thousandths of a retry
	costOfRetry    = 1000  // thousandths of a retry
)

// Budget is the retry budget of one route or service. Requests add credit, retries
// spend it. The zero value is full and grants a fifth of a retry for each request,
// with at most 20 retries saved up. It is safe for concurrent use.
type Budget struct {
	Ratio int64 // thousandths of a retry for each request, 0 for the default

	size  atomic.Int64 // of the full budget, thousandths of a retry, 0 for the default
	spent atomic.Int64 // thousandths of a retry that are missing from the full budget
}

func (b *Budget) ratio() int64 {
	if b.Ratio == 0 {
		return defaultRatio
	}
	return b.Ratio
}

func (b *Budget) largest() int64 {
	if size := b.size.Load(); size > 0 {
		return size
	}
	return defaultLargest
}

// SetLargest sets the size of the full budget, in thousandths of a retry. Credit
// beyond it is lost.
func (b *Budget) SetLargest(thousandths int64) {
	b.size.Store(thousandths)
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

// Retry spends the cost of a retry. It returns false if the budget is used up.
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

// Available reports whether Retry would succeed now. It spends nothing.
func (b *Budget) Available() bool {
	return b.spent.Load()+costOfRetry <= b.largest()
}
