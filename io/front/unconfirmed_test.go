package front

import (
	"net/http"
	"testing"
	"time"

	"kingcuprill/core/lease"
	"kingcuprill/core/plan"
)

// A VM that was cut off from the control VMs ran requests by its last plan, at targets where
// the newest plan forbids it: those without a key for as long as it was cut off, those with
// one while the lease held.
func TestVMsThatAreCutOffRunNothingByAnOlderPlan(t *testing.T) {
	for _, route := range []string{"with a key", "without a key", "forwarded without a key"} {
		for after, want := range map[time.Duration]int{2900 * time.Millisecond: 200, 3100 * time.Millisecond: 503, time.Hour: 503} {
			t.Run(route+" after "+after.String(), func(t *testing.T) {
				s := startTarget(t, status(200, "", "fine"))
				w := newFixture(t, plan.Route{Kind: plan.Idempotent, Open: route != "with a key", Attempts: 1}, s)
				w.unconfirmed(after)
				if route == "forwarded without a key" {
					w.front.Config.Handler = http.HandlerFunc(w.server.ServeForwarded)
				}
				code, _, response := w.ask(t, "k", hopFrom, "another")
				if code != want || (code == 503) != (response.Header.Get("Retry-After") != "") || (code == 503) != (s.count() == 0) {
					t.Errorf("status %d, want %d; headers %v; %d requests at the target", code, want, response.Header, s.count())
				}
			})
		}
	}
}

// unconfirmed gives the VM a lease of 4.1 s that was confirmed last some time ago, and a
// bound of 3 s on requests.
func (w *fixture) unconfirmed(ago time.Duration) {
	w.server.Lease = lease.New(func() time.Duration { return ago }, 4100*time.Millisecond)
	w.server.NewestWithin = 3 * time.Second
	w.server.Lease.Confirm(0)
}
