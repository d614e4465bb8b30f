package units

import (
	"math"
	"testing"
	"time"
)

// A number that no duration can hold must not turn into one of the other sign, here or
// when durations are added.
func TestHugeNumbersKeepTheirSign(t *testing.T) {
	for _, value := range []float64{1e16, 1e18, 1e300, math.MaxFloat64, math.Inf(1)} {
		for name, convert := range map[string]func(float64) time.Duration{"Milliseconds": Milliseconds, "Seconds": Seconds} {
			if got := 2 * convert(value); got <= 0 {
				t.Errorf("2 * %s(%v) is %v", name, value, got)
			}
			if got := 2 * convert(-value); got >= 0 {
				t.Errorf("2 * %s(%v) is %v", name, -value, got)
			}
		}
	}
	if got := Milliseconds(math.NaN()); got != 0 {
		t.Errorf("not a number is %v", got)
	}
	if got := Milliseconds(1.5) + Seconds(0.25); got != 251500*time.Microsecond {
		t.Errorf("1.5 ms and 0.25 s are %v", got)
	}
}
