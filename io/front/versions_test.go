package front

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/instance"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/core/quarantine"
	corestream "kingcuprill/core/streamversion"
	"kingcuprill/io/peer"
	"kingcuprill/io/streamversion"
)

var resumable = plan.Route{Kind: plan.Stream, Resumable: true, Attempts: 3}

// breakingStream sends the events 1 and 2 and breaks off. It goes on after them for a
// request that asks for that.
func breakingStream(conn net.Conn, request *http.Request) {
	if request.Header.Get("Last-Event-Id") == "2" {
		stream(true, 3)(conn, request)
		return
	}
	stream(false, 1, 2)(conn, request)
}

// resumed returns the number of requests to a target that ask for the rest of a stream.
func (s *target) resumed() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range s.seen {
		if request.Header.Get("Last-Event-Id") != "" {
			count++
		}
	}
	return count
}

// register replaces the targets of a fixture by one for each version.
func (w *fixture) register(targets []*target, versions ...string) {
	rows := map[string]instance.Registration{}
	for i, s := range targets {
		id := fmt.Sprintf("t%d", i)
		rows[id] = instance.Registration{ID: id, Service: "s", Address: s.address, Version: versions[i], Born: 1, State: instance.Ready, Slots: 8, Heard: time.Now()}
	}
	w.server.Placer.SetTargets(rows, func(string) string { return "region" })
}

// abroad makes a fixture reachable as the only entry VM of another region.
func (w *fixture) abroad(t *testing.T, region string) entry.VM {
	t.Helper()
	hop := httptest.NewServer(http.HandlerFunc(w.server.ServeForwarded))
	t.Cleanup(hop.Close)
	return entry.VM{ID: "vm-" + region, Region: region, PeerAddress: hop.Listener.Addr().String(), Ready: true}
}

// A stream that breaks off goes on at a target of the version that began it, or ends.
func TestStreamsOfTwoVersionsAreNotJoined(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		whole    bool
	}{
		"same version": {[]string{"v1", "v1"}, true}, "two versions": {[]string{"v1", "v2"}, false}, "one of each twice": {[]string{"v1", "v2", "v1", "v2"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var targets []*target
			for range test.versions {
				targets = append(targets, startTarget(t, breakingStream))
			}
			w := newFixture(t, resumable, targets...)
			w.register(targets, test.versions...)
			code, body, _ := w.ask(t, "k")
			if whole := code == http.StatusOK && strings.Count(body, "id:") == 3; whole != test.whole {
				t.Errorf("status %d, events %q", code, body)
			}
			first, second := "", ""
			for i, s := range targets {
				if s.resumed() > 0 {
					second = test.versions[i]
				} else if s.count() > 0 {
					first = test.versions[i]
				}
			}
			if second != "" && first != second {
				t.Errorf("begun at version %s, went on at %s", first, second)
			}
		})
	}
}

// The same over another region, on which the version of the first target isn't known.
func TestForwardedStreamsOfTwoVersionsAreNotJoined(t *testing.T) {
	for name, begunHere := range map[string]bool{"begun here": true, "begun abroad": false} {
		t.Run(name, func(t *testing.T) {
			begins, goesOn := startTarget(t, breakingStream), startTarget(t, breakingStream)
			first, second := newFixture(t, resumable), newFixture(t, resumable)
			first.register([]*target{begins}, "v1")
			second.register([]*target{goesOn}, "v2")
			here := newFixture(t, resumable)
			if begunHere {
				here.register([]*target{begins}, "v1")
			}
			vms := []entry.VM{first.abroad(t, "first"), second.abroad(t, "second")}
			here.server.Entries.Store(&vms)
			here.server.Placer.SetRemote([]place.Remote{
				{Service: "s", DataCentre: "first", Region: "first", Targets: 1000}, {Service: "s", DataCentre: "second", Region: "second", Targets: 1},
			})
			if begunHere {
				here.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "second", Region: "second", Targets: 1}})
			}
			if code, body, _ := here.ask(t, "k"); code != 0 || goesOn.resumed() != 0 {
				t.Errorf("status %d, events %q; the other version got the rest %d times", code, body, goesOn.resumed())
			}
		})
	}
}

// A stream breaks off while another target crashes at one of its parts. It goes on, as its
// own target has begun the answer without a crash.
func TestSuspicionDoesNotEndBegunStreams(t *testing.T) {
	var w *fixture
	breaks := func(conn net.Conn, request *http.Request) {
		if request.Header.Get("Last-Event-Id") != "" {
			breakingStream(conn, request)
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 1000\r\n\r\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", request.Header.Get("Id"), streamHeader)
		time.Sleep(50 * time.Millisecond) // the events have been passed on
		w.server.Quarantine.Report("1", "other/1", quarantine.Request{Service: "s", Parts: []string{"p"}, Fingerprint: "f"}, true, false)
		reset(conn, request)
	}
	targets := []*target{startTarget(t, breaks), startTarget(t, breaks)}
	w = newFixture(t, resumable, targets...)
	if code, body, _ := w.ask(t, "k", "Parts", "p:10,own:10", "Tokens", "20,5"); code != http.StatusOK || strings.Count(body, "id:") != 3 {
		t.Errorf("status %d, events %q", code, body)
	}
}

// A caller takes up a stream of which no VM knows the version: nothing runs, and the
// answer says so.
func TestStreamsOfUnknownVersionAreNotTakenUp(t *testing.T) {
	s := startTarget(t, breakingStream)
	w := newFixture(t, resumable, s)
	for _, header := range [][]string{{"Last-Event-Id", "2"}, {"Last-Event-Id", "2", "Resumes", "6"}, {"Last-Event-Id", "2", hopVersion, "", hopService, "s"}} {
		if code, body, _ := w.ask(t, "k", header...); code != http.StatusServiceUnavailable || s.count() != 0 {
			t.Errorf("%v: status %d, body %q, %d requests reached a target", header, code, body, s.count())
		}
	}
}

// A stream that is taken up, or goes on for long, is recorded again, so that it can be
// taken up for as long as it lives.
func TestLongStreamsStayKnown(t *testing.T) {
	now := time.Now()
	known := streamversion.NewClient(peer.NewUnsigned("vm"), func() []string { return nil }, func() []string { return nil }, func() int64 { return 1 }, func() bool { return true }, slog.New(slog.DiscardHandler))
	x := &exchange{server: &Server{Streams: known}, route: resumable}
	x.origin.id = "7"
	x.answering = &corestream.Version{Service: "s", Version: "v1"}
	x.begin()
	if v, found := known.Find(t.Context(), "7", "s"); !found || v != *x.answering {
		t.Fatalf("version %v, found %v", v, found)
	}
	first := x.origin.recorded
	x.keepRecord(now.Add(corestream.Retention / 4))
	if x.origin.recorded != first {
		t.Error("recorded again at once")
	}
	if x.keepRecord(now.Add(corestream.Retention)); x.origin.recorded == first {
		t.Error("not recorded again")
	}
}
