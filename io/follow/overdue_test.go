package follow

import (
	"testing"
	"time"

	"kingcuprill/core/entry"
)

// While the control VM of a region stood still, the others held its polls for two seconds each,
// so that a confirmation was older than four seconds, though a majority went on.
func TestPollsAreShortWhileAConfirmationIsOverdue(t *testing.T) {
	const near, far = "near", "far"
	for name, test := range map[string]struct {
		confirmed time.Duration // ago
		want      map[string]time.Duration
	}{
		"confirmed":           {confirmed: pollWait, want: map[string]time.Duration{near: pollWait, far: farPollWait}},
		"overdue":             {confirmed: confirmedLately, want: map[string]time.Duration{near: overdueWait, far: overdueWait}},
		"not confirmed ever":  {confirmed: time.Since(time.Time{}), want: map[string]time.Duration{near: overdueWait, far: overdueWait}},
		"overdue for a while": {confirmed: time.Minute, want: map[string]time.Duration{near: overdueWait, far: overdueWait}},
	} {
		c := &Client{near: map[string]bool{near: true}, entries: map[string]map[string]entry.VM{}, confirmed: time.Now().Add(-test.confirmed)}
		for address, want := range test.want {
			if wait := c.setScope(address, &cursor{}); wait != want {
				t.Errorf("%s: a poll of the %s control VM is held for %v, want %v", name, address, wait, want)
			}
		}
	}
}
