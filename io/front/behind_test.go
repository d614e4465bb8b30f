package front

import (
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"kingcuprill/core/instance"
	"kingcuprill/core/plan"
	"kingcuprill/io/coordinator"
	"kingcuprill/io/peer"
)

// behind is what a VM knows of a target that its coordinator hasn't heard of.
var behind = map[string]func(row *instance.Registration, w *fixture){
	"draining":  func(row *instance.Registration, _ *fixture) { row.State = instance.Draining },
	"left":      func(row *instance.Registration, _ *fixture) { row.State = instance.Left },
	"forgotten": func(row *instance.Registration, _ *fixture) { row.ID, row.Service = "other", "other" },
	"moved":     func(row *instance.Registration, _ *fixture) { row.Address, row.Service = "127.0.0.1:1", "other" },
	"upgraded":  func(row *instance.Registration, _ *fixture) { row.Version, row.Service = "v2", "other" },
	"evacuated": func(row *instance.Registration, w *fixture) {
		row.DataCentre = "evacuated"
		w.server.State.Update(func(old *State) *State {
			return &State{Plan: old.Plan, Revision: old.Revision + 1, Evacuated: map[string]bool{"evacuated": true}}
		})
	},
}

// A VM whose coordinator was cut off or stood still sent requests to targets that it knew to
// have gone, to be evacuated or to run another version.
func TestPlacesByOldRegistrationsAreNotUsed(t *testing.T) {
	for name, change := range behind {
		t.Run(name, func(t *testing.T) {
			old, current := startTarget(t, status(200, "", "fine")), startTarget(t, status(200, "", "fine"))
			route := plan.Route{Kind: plan.Idempotent, Attempts: 1}
			here, there := newFixture(t, route), newFixture(t, route)
			ready := func(id string, s *target) instance.Registration {
				return instance.Registration{ID: id, Service: "s", Version: "v1", Address: s.address, State: instance.Ready, Slots: 8, Heard: time.Now()}
			}
			region := func(string) string { return "region" }
			there.server.Placer.SetTargets(map[string]instance.Registration{"old": ready("old", old)}, region)
			places := coordinator.NewServer(there.server.Placer, func() map[string]bool { return nil }, there.server.Lease.Valid, slog.New(slog.DiscardHandler))
			web := httptest.NewServer(places.Handler(peer.NewUnsigned("there").Credentials))
			t.Cleanup(web.Close)
			here.coordinated(t, "there", web.Listener.Addr().String())
			newer := ready("old", old)
			change(&newer, here)
			rows := map[string]instance.Registration{newer.ID: newer}
			for i := range 16 {
				id := fmt.Sprintf("t%d", i)
				rows[id] = ready(id, current)
			}
			here.server.Placer.SetTargets(rows, region)
			for i := range 40 {
				if code, _, _ := here.ask(t, "k"); code != 200 {
					t.Fatalf("request %d: status %d", i, code)
				}
			}
			if places.Given() == 0 || old.count() > 0 {
				t.Errorf("%d places from the VM that is behind, %d requests at the target", places.Given(), old.count())
			}
		})
	}
}
