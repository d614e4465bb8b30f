package front

import (
	"net"
	"net/http"
	"testing"
	"time"

	"kingcuprill/core/entry"
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

// The VM that runs the trials of a service refused one for a reason of its own, and the caller got that refusal though its
// neighbour could run it.
func TestTrialsGoToTheNextVMWhenOneRefusesForItself(t *testing.T) {
	for reason, code := range map[string]int{
		stoppingReason: http.StatusOK, linksReason: http.StatusOK, notConfirmed: http.StatusOK, noConfiguration: http.StatusOK, bodiesReason: http.StatusOK,
		suspectReason: http.StatusServiceUnavailable, "slow": http.StatusServiceUnavailable,
	} {
		t.Run(reason, func(t *testing.T) {
			shared := startTarget(t, status(503, hopNotRun+": "+reason+"\r\n", ""), status(200, "", "fine"))
			w := abroadOnly(t, shared.address, shared.address)
			w.suspect("p")
			got, body, response := w.ask(t, "k", "Parts", "p:10,own:10", "Tokens", "20,5")
			if got != code || code != http.StatusOK && response.Header.Get("Retry-After") == "" {
				t.Errorf("status %d, body %q after %d requests", got, body, shared.count())
			}
			for _, request := range shared.seen {
				if request.Header.Get(hopTrial) == "" {
					t.Error("a VM was sent the request as one that isn't suspect")
				}
			}
		})
	}
}

// All VMs that could run a trial refuse it for themselves. It must not be offered to each of many.
func TestTrialsAreOfferedToFewVMs(t *testing.T) {
	shared := startTarget(t, status(503, hopNotRun+": "+stoppingReason+"\r\n", ""))
	w := abroadOnly(t, shared.address, shared.address)
	vms := []entry.VM{}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		vms = append(vms, entry.VM{ID: id, Region: "abroad", PeerAddress: shared.address, Ready: true})
	}
	w.server.Entries.Store(&vms)
	w.suspect("p")
	if code, _, _ := w.ask(t, "k", "Parts", "p:10,own:10", "Tokens", "20,5"); code != http.StatusServiceUnavailable || shared.count() != maxNeighbours {
		t.Errorf("status %d after %d requests", code, shared.count())
	}
}
