package front

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprill/core/instance"
	"kingcuprill/core/place"
	corestream "kingcuprill/core/streamversion"
	"kingcuprill/io/coordinator"
	"kingcuprill/io/peer"
	"kingcuprill/io/streamversion"
)

// A VM that nothing confirmed any more once it had admitted the request sent the rest of a stream where only its coordinator, which was
// behind, named the version.
func TestRestsOfStreamsNeedAnOwnRegistration(t *testing.T) {
	route := resumable
	route.Open = true
	for name, unsure := range map[string]string{"another version": "t0", "not known": "other"} {
		t.Run(name, func(t *testing.T) {
			upgraded, old := startTarget(t, breakingStream), startTarget(t, breakingStream)
			here, there := newFixture(t, route), newFixture(t, route)
			there.register([]*target{upgraded}, "v1")
			places := coordinator.NewServer(there.server.Placer, func() map[string]bool { return nil }, there.server.Lease.Valid, slog.New(slog.DiscardHandler))
			web := httptest.NewServer(places.Handler(peer.NewUnsigned("there").Credentials))
			t.Cleanup(web.Close)
			here.coordinated(t, "there", web.Listener.Addr().String())
			row := func(id string, s *target, version string) instance.Registration {
				return instance.Registration{ID: id, Service: "s", Address: s.address, Version: version, Born: 1, State: instance.Ready, Slots: 8, Heard: time.Now()}
			}
			rows := map[string]instance.Registration{unsure: row(unsure, upgraded, "v2")}
			for i := range 8 {
				id := string(rune('a' + i))
				rows[id] = row(id, old, "v1")
			}
			here.server.Placer.SetTargets(rows, func(string) string { return "region" })
			here.server.Headers.Resumes = "Resumes"
			here.leased.Store(-int64(time.Second))
			none := func() []string { return nil }
			here.server.Streams = streamversion.NewClient(peer.NewUnsigned("vm"), none, none, func() int64 { return 1 }, func() bool { return false }, slog.New(slog.DiscardHandler))
			here.server.Streams.Record("7", corestream.Version{Service: "s", Version: "v1"})
			for range 40 {
				here.admits.Store(true)
				here.ask(t, "", "Last-Event-Id", "2", "Resumes", "7")
			}
			if places.Given() == 0 || old.resumed() == 0 || upgraded.resumed() > 0 {
				t.Errorf("%d places from the coordinator, %d rests at the old version, %d where only the coordinator names it", places.Given(), old.resumed(), upgraded.resumed())
			}
		})
	}
}

// A VM that nothing confirmed any more once it had admitted the request sent the rest of a stream by its old registration, though the
// coordinator had no target of that version.
func TestRestsOfStreamsNeedTheCoordinator(t *testing.T) {
	route := resumable
	route.Open = true
	s := startTarget(t, breakingStream)
	here, there := newFixture(t, route), newFixture(t, route)
	places := coordinator.NewServer(there.server.Placer, func() map[string]bool { return nil }, there.server.Lease.Valid, slog.New(slog.DiscardHandler))
	asked := atomic.Int64{}
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		asked.Add(1)
		places.Handler(peer.NewUnsigned("there").Credentials).ServeHTTP(w, request)
	}))
	t.Cleanup(web.Close)
	here.coordinated(t, "there", web.Listener.Addr().String())
	for i := range 100 { // until the other VM coordinates the target
		row := instance.Registration{ID: fmt.Sprintf("t%d", i), Service: "s", Address: s.address, Version: "v1", Born: 1, State: instance.Ready, Slots: 8, Heard: time.Now()}
		here.server.Placer.SetTargets(map[string]instance.Registration{row.ID: row}, func(string) string { return "region" })
		row.Version = "v2"
		there.server.Placer.SetTargets(map[string]instance.Registration{row.ID: row}, func(string) string { return "region" })
		if here.server.Placer.Candidates(place.Request{Service: "s", Now: time.Now()}, 1)[0].VM == "there" {
			break
		}
	}
	here.server.Headers.Resumes = "Resumes"
	here.leased.Store(-int64(time.Second))
	none := func() []string { return nil }
	here.server.Streams = streamversion.NewClient(peer.NewUnsigned("vm"), none, none, func() int64 { return 1 }, func() bool { return false }, slog.New(slog.DiscardHandler))
	here.server.Streams.Record("7", corestream.Version{Service: "s", Version: "v1"})
	for range 10 {
		here.admits.Store(true)
		if code, _, _ := here.ask(t, "", "Last-Event-Id", "2", "Resumes", "7"); code != http.StatusServiceUnavailable {
			t.Errorf("status %d", code)
		}
	}
	if asked.Load() == 0 || s.resumed() > 0 {
		t.Errorf("the coordinator was asked %d times; %d rests at a target that it doesn't name", asked.Load(), s.resumed())
	}
}
