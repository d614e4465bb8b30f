package front

import (
	"strings"
	"testing"

	"kingcuprill/core/plan"
)

// TestHeadersBetweenVMsStayThere sends headers that VMs send each other, a later build's
// too, from a caller and from a target. Neither must reach the other.
func TestHeadersBetweenVMsStayThere(t *testing.T) {
	target := startTarget(t, status(200, "Kc-Hop-Version: v9\r\nKc-Hop-Later: 1\r\n", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, target)
	code, _, response := w.ask(t, "k", "Kc-Hop-Trial", "1", "Kc-Hop-Later", "1")
	if code != 200 {
		t.Fatalf("status %d", code)
	}
	for name := range response.Header {
		if strings.HasPrefix(name, "Kc-Hop-") {
			t.Errorf("the caller gets %s of the target", name)
		}
	}
	for name := range target.seen[0].Header {
		if strings.HasPrefix(name, "Kc-Hop-") {
			t.Errorf("the target gets %s of the caller", name)
		}
	}
}
