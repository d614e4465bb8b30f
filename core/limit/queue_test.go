package limit

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestTinyRateDoesNotSpin has a request wait at a rate that is nothing but a
// rounding error: the time until its tokens come is beyond what a duration
// holds, and the queue must not be woken over and over at the same instant.
func TestTinyRateDoesNotSpin(t *testing.T) {
	for _, rate := range []float64{1e-300, 1e-14, 1e-9} {
		if wait := timeToAccrue(10, rate, LoanDuration); wait != LoanDuration {
			t.Errorf("at rate %g the queue is woken after %v, want %v", rate, wait, LoanDuration)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		account := newAccount(Amount{RatePerSecond: 1e-14, Burst: 100}, time.Now(), time.Now())
		var shorts atomic.Int64
		_, _, err := account.Reserve(context.Background(), 10, time.Second, func() { shorts.Add(1) })
		if err == nil || shorts.Load() != 1 {
			t.Fatalf("the request got err %v and asked for %d loans, want a refusal and one", err, shorts.Load())
		}
	})
}
