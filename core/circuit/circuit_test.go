package circuit

import (
	"testing"
	"testing/synctest"
	"time"
)

// Many requests wait at a peer that is silent for a second, and fail together. It is
// tried again after the shortest time, and is in use again once it has answered.
func TestOneSilenceCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Breaker{}
		for range 50 {
			b.Failed()
		}
		if b.Allow() {
			t.Error("the circuit isn't open")
		}
		time.Sleep(shortestOpen)
		if !b.Allow() || b.Allow() {
			t.Error("not one probe after the shortest time")
		}
		b.Succeeded()
		if !b.Closed() {
			t.Error("the circuit isn't closed after a probe has succeeded")
		}
	})
}

// A peer that fails each probe is tried less and less often.
func TestOpenTimesDouble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Breaker{}
		for range failuresToOpen {
			b.Failed()
		}
		for open := shortestOpen; open <= 2*longestOpen; open *= 2 {
			expected := min(open, longestOpen)
			time.Sleep(expected - time.Millisecond)
			if b.Allow() {
				t.Fatalf("a probe before %v", expected)
			}
			time.Sleep(time.Millisecond)
			if !b.Allow() {
				t.Fatalf("no probe after %v", expected)
			}
			b.Failed()
		}
	})
}
