package follow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/quarantine"
	"kingcuprill/io/rig/eventually"
	"kingcuprill/io/rig/memnet"
)

// A quarter of a service's targets crashed at once, with more requests than VMs keep crashes.
// Reports of all entry VMs kept changing the crashes that are kept. Each change ended the polls
// of all entry VMs at all control VMs, which sent the changes: more than the link of an entry VM
// carries.
func TestManyCrashesDoNotFillLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crashes, reported, lasting = 1500, 50, 4 * time.Second
		const linkRate = 1_250_000 // bytes per second
		network := &memnet.Network{}
		controls := []*control{startControlOn(t, network, "n", "near"), startControlOn(t, network, "f", "far")}
		follower := startFollower(t, controls...)
		eventually.Until(t, "the lease holds", follower.Lease.Valid)
		rows := make([]quarantine.Crash, crashes)
		for i := range rows {
			rows[i] = quarantine.Crash{ID: fmt.Sprintf("request-%08d", i), Boot: fmt.Sprintf("target-%d/1", i%35), Service: "s", Parts: []string{fmt.Sprintf("shared-%d", i%50), fmt.Sprintf("own-%08d", i)}}
		}
		begun := time.Now()
		for next := 0; time.Since(begun) < lasting; next = (next + reported) % crashes {
			for _, c := range controls {
				c.vmState.Quarantine.Merge(rows[next : next+reported])
			}
			time.Sleep(10 * time.Millisecond)
		}
		bytes, polls := 0, 0
		for _, c := range controls {
			c.mu.Lock()
			for _, answer := range c.sent {
				bytes += proto.Size(answer)
				polls++
			}
			c.mu.Unlock()
		}
		share := float64(bytes) / lasting.Seconds() / linkRate
		t.Logf("%d polls, %d KB, %.0f%% of the link", polls, bytes>>10, 100*share)
		if share > 0.1 {
			t.Errorf("crashes take %.0f%% of an entry VM's link, want at most 10%%", 100*share)
		}
		if most := int(lasting/batchInterval) * len(controls) * 3 / 2; polls > most {
			t.Errorf("%d polls in %v, want at most %d", polls, lasting, most)
		}
	})
}
