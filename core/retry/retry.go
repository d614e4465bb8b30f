// Package retry bounds how many requests are tried again, so that retries
// can't multiply the load of a failure.
package retry

import "sync/atomic"

const (
	creditPerRequest = 200   // thousandths of a retry
	costOfRetry      = 1000  // thousandths of a retry
	largestBudget    = 20000 // thousandths of a retry
)

// Budget is the retry budget of one route. Requests add to it, retries take
// from it.
type Budget struct {
	spent atomic.Int64 // thousandths of a retry below the largest budget
}

// Request adds the credit of a new request.
func (b *Budget) Request() {
	for {
		spent := b.spent.Load()
		if b.spent.CompareAndSwap(spent, max(0, spent-creditPerRequest)) {
			return
		}
	}
}

// Retry takes the cost of a retry. It returns false when the budget is used up.
func (b *Budget) Retry() bool {
	for {
		spent := b.spent.Load()
		if spent+costOfRetry > largestBudget {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+costOfRetry) {
			return true
		}
	}
}
