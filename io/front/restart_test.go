package front

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprill/core/instance"
)

// answersAs sends the events 1 and 2 and breaks off, or goes on after them. Each names the
// version of the software that wrote it.
func answersAs(version string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		rest := request.Header.Get("Last-Event-Id") == "2"
		events := []int{1, 2}
		if rest {
			events = []int{3}
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n", request.Header.Get("Id"), streamHeader+"Transfer-Encoding: chunked\r\n")
		for _, id := range events {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, version)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if !rest {
			conn.Close()
			return
		}
		fmt.Fprint(conn, "0\r\n\r\n")
	}
}

// startVersions starts targets of one version, which is that of their start: v1. begins is
// called when one begins a stream.
func startVersions(t *testing.T, count int, begins func(at int, targets []*target)) (targets []*target) {
	for i := range count {
		targets = append(targets, startTarget(t, func(conn net.Conn, request *http.Request) {
			if request.Header.Get("Last-Event-Id") == "" {
				begins(i, targets)
			}
			answersAs(fmt.Sprint("v", targets[i].start.Load()))(conn, request)
		}))
	}
	return targets
}

const wholeOfV1 = "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\nid: 3\ndata: v1\n\n"

// A target has started again under its id and address with another version, and this VM
// hasn't heard of it yet. The rest of a stream must not go there.
func TestRestOfAStreamAtARestartedTarget(t *testing.T) {
	for name, test := range map[string]struct {
		targets int
		body    string
	}{"no other target": {2, wholeOfV1[:len(wholeOfV1)*2/3]}, "another target of the version": {3, wholeOfV1}} {
		t.Run(name, func(t *testing.T) {
			for range 8 {
				targets := startVersions(t, test.targets, func(at int, targets []*target) {
					targets[(at+1)%len(targets)].start.Store(2)
				})
				w := newFixture(t, resumable, targets...)
				w.register(targets, "v1", "v1", "v1")
				if _, body, _ := w.ask(t, "k"); body != test.body {
					t.Errorf("events of both versions: %q", body)
				}
			}
		})
	}
}

// The target starts again after it has told its start, before or while the rest comes.
func TestRestOfAStreamAtATargetThatRestartsMeanwhile(t *testing.T) {
	for _, after := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			for range 8 {
				var begun atomic.Bool // the next one that tells its start is asked before the rest
				targets := startVersions(t, 2, func(int, []*target) { begun.Store(true) })
				for _, s := range targets {
					s.told = func(conn net.Conn) {
						if !begun.Load() {
							return
						}
						time.AfterFunc(after, func() {
							conn.Close()
							s.start.Store(2)
						})
					}
				}
				w := newFixture(t, resumable, targets...)
				w.register(targets, "v1", "v1")
				if _, body, _ := w.ask(t, "k"); !strings.Contains(body, "v1") || strings.Contains(body, "v2") {
					t.Errorf("events of both versions: %q", body)
				}
			}
		})
	}
}

// A target doesn't tell its start, or its registration doesn't.
func TestRestOfAStreamAtATargetWithoutAStart(t *testing.T) {
	for name, change := range map[string]func(w *fixture, targets []*target){
		"not told": func(_ *fixture, targets []*target) {
			for _, s := range targets {
				s.start.Store(0)
			}
		},
		"not registered": func(w *fixture, targets []*target) {
			rows := map[string]instance.Registration{}
			for i, s := range targets {
				id := fmt.Sprint("t", i)
				rows[id] = instance.Registration{ID: id, Service: "s", Address: s.address, Version: "v1", State: instance.Ready, Slots: 8, Heard: time.Now()}
			}
			w.server.Placer.SetTargets(rows, func(string) string { return "region" })
		},
	} {
		t.Run(name, func(t *testing.T) {
			targets := startVersions(t, 2, func(int, []*target) {})
			w := newFixture(t, resumable, targets...)
			w.register(targets, "v1", "v1")
			change(w, targets)
			if code, body, _ := w.ask(t, "k"); code != 0 || targets[0].resumed()+targets[1].resumed() > 0 {
				t.Errorf("status %d, events %q", code, body)
			}
		})
	}
}

// A stream begins at a target that is known to have started again. Its version isn't that of
// the registration.
func TestStreamBegunAtARestartedTarget(t *testing.T) {
	targets := startVersions(t, 2, func(int, []*target) {})
	w := newFixture(t, resumable, targets...)
	w.register(targets, "v1", "v1")
	targets[0].start.Store(2)
	w.server.Placer.MarkRestarted("t0", 1)
	for range 40 {
		if _, body, _ := w.ask(t, "k"); strings.Contains(body, "v1") && strings.Contains(body, "v2") {
			t.Errorf("events of both versions: %q", body)
		}
	}
	if targets[0].count() == 0 || targets[0].resumed() > 0 {
		t.Errorf("%d requests, %d rests at the target that has started again", targets[0].count(), targets[0].resumed())
	}
}

// A target has started again as another version before a stream begins there, and this VM
// hasn't heard of it. The rest went to a target of the version before.
func TestStreamBegunAtATargetThatHasStartedAgain(t *testing.T) {
	targets := startVersions(t, 2, func(int, []*target) {})
	w := newFixture(t, resumable, targets...)
	w.register(targets, "v1", "v1")
	targets[0].start.Store(2)
	for range 20 {
		if _, body, _ := w.ask(t, "k"); strings.Contains(body, "v1") && strings.Contains(body, "v2") {
			t.Fatalf("events of both versions: %q", body)
		}
	}
}
