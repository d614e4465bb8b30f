package limit

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestTinyRateDoesNotSpin lets a request wait at a rate that is only a rounding
// error. The time until its tokens accrue overflows a duration, which would wake
// the queue again and again without a pause.
func TestTinyRateDoesNotSpin(t *testing.T) {
	for _, rate := range []float64{1e-300, 1e-14, 1e-9} {
		if wait := timeToAccrue(10, rate, LoanDuration); wait != LoanDuration {
			t.Errorf("at rate %g the queue is woken after %v, want %v", rate, wait, LoanDuration)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		account := newAccount(Amount{RatePerSecond: 1e-14, Burst: 100}, time.Now(), time.Now())
		var shortages atomic.Int64
		_, _, err := account.Reserve(context.Background(), 10, time.Second, func() { shortages.Add(1) })
		if err == nil || shortages.Load() != 1 {
			t.Fatalf("the request got err %v and asked for %d loans, want a refusal and one", err, shortages.Load())
		}
	})
}
