package front

import (
	"net/http"
	"testing"

	"kingcuprill/core/plan"
)

// A target says in an answer that it leaves: it gets no further request, whatever its
// heartbeats say, and the others serve.
func TestLeavingTargetGetsNoMore(t *testing.T) {
	for name, leaving := range map[string]*target{
		"with a success": startTarget(t, status(200, "Leaving: 1\r\n", "fine")), "with a refusal": startTarget(t, status(503, "Leaving: 1\r\nNot-Run: 1\r\n", "")),
	} {
		other := startTarget(t, status(200, "Leaving: 0\r\n", "fine"))
		w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 2}, leaving, other)
		for i := range 30 {
			if code, _, _ := w.ask(t, "k"); code != http.StatusOK {
				t.Errorf("%s: request %d: status %d", name, i, code)
			}
		}
		if leaving.count() > 1 || other.count() < 29 {
			t.Errorf("%s: the leaving target got %d requests, the other %d", name, leaving.count(), other.count())
		}
	}
}
