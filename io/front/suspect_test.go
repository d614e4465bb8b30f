package front

import (
	"net"
	"net/http"
	"testing"
	"time"

	"kingcuprill/core/plan"
	"kingcuprill/core/quarantine"
)

// suspect reports that a target has crashed as it began to answer a request with the part.
func (w *fixture) suspect(part string) {
	w.server.Quarantine.Report("1", "other/1", quarantine.Request{Service: "s", Parts: []string{part}, Fingerprint: "f"}, true, false)
}

// A call that may run once was taken back from its target for a suspicion, and its caller got 502 in place of its answer.
func TestSuspicionsEndNoCallThatMayRunOnce(t *testing.T) {
	var w *fixture
	answer := pausing(plan.NonIdempotent, 300*time.Millisecond, true)
	shared := startTarget(t, func(conn net.Conn, request *http.Request) {
		w.suspect("p")
		answer(conn, request)
	})
	w = newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, shared, shared)
	if code, body, _ := w.ask(t, "k", "Parts", "p:10,own:10", "Tokens", "20,5"); code != http.StatusOK || shared.count() != 1 {
		t.Errorf("status %d, body %q after %d runs", code, body, shared.count())
	}
}
