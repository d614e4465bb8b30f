package front

import (
	"net/http"
	"testing"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
)

// abroadOnly returns a fixture without targets that knows two VMs of another region.
func abroadOnly(t *testing.T, first, second string) *fixture {
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1})
	w.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Targets: 1}})
	w.server.Entries.Store(&[]entry.VM{
		{ID: "first", Region: "abroad", PeerAddress: first, Ready: true}, {ID: "second", Region: "abroad", PeerAddress: second, Ready: true},
	})
	return w
}

// A VM of another region refused a request for a reason of its own, and the caller got the refusal though its neighbour had targets.
func TestRefusalsOfOneVMAreNotThoseOfItsRegion(t *testing.T) {
	for reason, code := range map[string]int{
		stoppingReason: http.StatusOK, linksReason: http.StatusOK, notConfirmed: http.StatusOK, noConfiguration: http.StatusOK, bodiesReason: http.StatusOK,
		linkReason: http.StatusOK,
		"slow":     http.StatusServiceUnavailable, quarantinedReason: http.StatusServiceUnavailable,
	} {
		t.Run(reason, func(t *testing.T) {
			t.Parallel()
			shared := startTarget(t, status(503, hopNotRun+": "+reason+"\r\n", ""), status(200, "", "fine"))
			w := abroadOnly(t, shared.address, shared.address)
			if got, body, _ := w.ask(t, "k"); got != code {
				t.Errorf("status %d, body %q after %d requests", got, body, shared.count())
			}
			if backoff := w.server.regions.InBackoff(regionRoute{"abroad", "r"}, time.Now()); backoff != (reason == "slow") {
				t.Errorf("the region is in backoff: %v", backoff)
			}
		})
	}
}

// A VM that refuses for itself again and again was asked each time as if it had served the
// request before. It must be asked less and less often.
func TestRefusalsOfOneVMProlongItsBackoff(t *testing.T) {
	stopping := startTarget(t, status(503, hopNotRun+": "+stoppingReason+"\r\n", ""))
	w := abroadOnly(t, stopping.address, unreachable(t, 1)[0].address)
	begin := time.Now()
	w.server.partners.Refused("first", begin.Add(-time.Second)) // backoff of 150 ms
	if code, _, _ := w.ask(t, "k"); code != http.StatusServiceUnavailable || stopping.count() != 1 {
		t.Fatalf("status %d after %d requests", code, stopping.count())
	}
	if !w.server.partners.InBackoff("first", begin.Add(250*time.Millisecond)) {
		t.Error("the second refusal has no longer backoff than the first")
	}
}

// All VMs of a region stop. The request must not be offered to each of many.
func TestFewVMsOfARegionAreAsked(t *testing.T) {
	shared := startTarget(t, status(503, hopNotRun+": "+stoppingReason+"\r\n", ""))
	w := abroadOnly(t, shared.address, shared.address)
	vms := []entry.VM{}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		vms = append(vms, entry.VM{ID: id, Region: "abroad", PeerAddress: shared.address, Ready: true})
	}
	w.server.Entries.Store(&vms)
	if code, _, _ := w.ask(t, "k"); code != http.StatusServiceUnavailable || shared.count() != maxNeighbours {
		t.Errorf("status %d after %d requests", code, shared.count())
	}
}

// Nothing listens at a VM of another region any more. Its neighbour is asked.
func TestGoneVMsAreNotTheirRegion(t *testing.T) {
	shared := startTarget(t, status(200, "", "fine"))
	gone := unreachable(t, 1)[0].address
	for _, addresses := range [][2]string{{gone, shared.address}, {shared.address, gone}} {
		if code, body, _ := abroadOnly(t, addresses[0], addresses[1]).ask(t, "k"); code != http.StatusOK {
			t.Errorf("status %d, body %q", code, body)
		}
	}
}
