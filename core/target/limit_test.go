package target

import (
	"fmt"
	"testing"
	"time"

	"kingcuprill/core/targetlimit"
)

// The VMs of a data centre together send a target no more than it names, in any 4s,
// also below one request a second, and nearly as much.
func TestLimitIsSharedByVMs(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, rate := range []float64{0.25, 0.8, 2.6, 12} {
		for _, count := range []int{1, 3, 40} {
			var vms []string
			limits := make([]RequestLimit, count)
			for i := range count {
				vms = append(vms, fmt.Sprint("vm", i))
				limits[i].Observe(targetlimit.Notice{Named: true, Rate: rate}, start, start)
			}
			all := func() []string { return vms }
			var sent []time.Time
			for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(20 * time.Millisecond) {
				for i := range limits {
					if limits[i].Allows("t", vms[i], all, now) && limits[i].Take("t", vms[i], all, now) {
						sent = append(sent, now)
					}
				}
			}
			if most, allowed := mostIn(sent, 4*time.Second), int(1.5*4*rate)+5; most > allowed {
				t.Errorf("%d VMs, limit %v: %d in 4 s, %d are allowed", count, rate, most, allowed)
			}
			if least := int(0.8 * 40 * rate); len(sent) < least {
				t.Errorf("%d VMs, limit %v: only %d in 40 s", count, rate, len(sent))
			}
		}
	}
}

func mostIn(times []time.Time, window time.Duration) (most int) {
	for i, from := range times {
		count := 0
		for _, at := range times[i:] {
			if at.Sub(from) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
