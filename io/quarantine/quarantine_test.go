package quarantine

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"kingcuprill/core/fault"
	"kingcuprill/core/quarantine"
	"kingcuprill/io/cli/dial"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/operator"
)

// Operators of the platform's VMs see and lift quarantines at the metrics' address,
// without a token.
func TestQuarantinesAreListedAndLifted(t *testing.T) {
	list := quarantine.NewList()
	crash := func(id string, trial bool) {
		list.Report(id, "t"+id+"/1", quarantine.Request{Service: "s/m", Organisation: "o", Parts: []string{"p"}, Fingerprint: "f" + id}, true, trial)
	}
	crash("1", false)
	crash("2", true)
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metrics")) })
	web := httptest.NewServer((&Server{Crashes: list, Log: slog.New(slog.DiscardHandler)}).Handler(metrics))
	t.Cleanup(web.Close)
	client := dial.Quarantines(web.Listener.Addr().String(), "")
	ctx := context.Background()
	answer, err := client.List(ctx, &operator.ListQuarantinesRequest{})
	if err != nil || len(answer.GetQuarantines()) != 1 {
		t.Fatalf("%v, %v", answer, err)
	}
	if q := answer.GetQuarantines()[0]; !q.GetRefused() || q.GetCrashes() != 2 || q.GetParts()[0] != "p" || q.GetOrganisations()[0] != "o" || q.GetLeftNanoseconds() <= 0 {
		t.Errorf("%v", q)
	}
	for part, want := range map[string]fault.Code{"": fault.Invalid, "other": fault.NotFound} {
		if _, err := client.Lift(ctx, &operator.LiftQuarantineRequest{Part: part}); fault.CodeOf(peer.FromTwirp(err)) != want {
			t.Errorf("lift %q: %v", part, err)
		}
	}
	if _, err := client.Lift(ctx, &operator.LiftQuarantineRequest{Part: "p"}); err != nil {
		t.Error(err)
	}
	answer, err = client.List(ctx, &operator.ListQuarantinesRequest{})
	if err != nil {
		t.Error(err)
	}
	for _, q := range answer.GetQuarantines() {
		// The requests as a whole stay suspect.
		if q.GetRefused() || q.GetParts()[0] == "p" {
			t.Errorf("after the lift: %v", q)
		}
	}
	response, err := http.Get(web.URL + "/metrics")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the metrics: %v", err)
	}
}
