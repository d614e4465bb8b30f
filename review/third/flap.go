//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// flap is a runner that crashes, starts again under its id, and crashes again before its first
// late heartbeat has come, while streams begin there. Clients take them up.
type flap struct {
	versions []string // of the runners; the first one flaps
	again    string   // version of its software after its first crash
	streams  int
	calm     time.Duration // from the begin of the case
}

// tried is a stream of a client.
type tried struct {
	id      string
	events  []event // of all attempts
	begun   bool    // the first attempt has brought an event
	takenUp bool
	goesOn  bool // the attempt that takes it up has brought the rest
}

const (
	flapEvents = 14
	flapGap    = 250 * time.Millisecond
	flapDown   = 400 * time.Millisecond
	flapLate   = 4 * time.Second // of the heartbeats after the first crash
	flapAgain  = 1200 * time.Millisecond
)

// refusedRests: the runner is back with the same software, and two versions serve side by side.
func refusedRests(s *system) (broken bool) {
	const enough = 12 // streams that are taken up
	begun, takenUp, goOn := 0, 0, 0
	all := s.playFlap(flap{versions: []string{"v1", "v1", "v1", "v2", "v2", "v2"}, again: "v1", streams: 180, calm: 20 * time.Second})
	for _, t := range all {
		if t.begun {
			begun++
		}
		if t.takenUp {
			takenUp++
		}
		if t.goesOn {
			goOn++
		}
	}
	s.note("%d of %d new streams have begun; %d streams were taken up, of which %d have gone on", begun, len(all), takenUp, goOn)
	return takenUp >= enough && float64(goOn)/float64(takenUp) < float64(begun)/float64(len(all))/2
}

func (s *system) playFlap(f flap) (all []tried) {
	s.startAll()
	s.put(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-stream", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1000, "priority": 1,
			"service": "planner", "attempts": 2, "anonymous": false, "sticky": true, "canResume": true, "targetGapMs": 400, "homeRegions": []any{},
		}},
		"services": []any{planner()},
		"limits":   clientLimits(),
		"tenants":  []any{tenant(5_000_000)},
	})
	runners := []*runner{}
	for i, version := range f.versions {
		r := s.newRunner(fmt.Sprintf("i-planner-%d", i+1), "planner", "kolkata-a", 31+i, runnerPort, 64)
		r.serve = slowStream
		r.start(version)
		runners = append(runners, r)
	}
	s.waitReady()
	kolkata := s.entries[:2]
	// Calm traffic, also so that the control machines hear of the versions for long enough.
	for s.until(8 * time.Second); time.Since(s.began) < f.calm; time.Sleep(2 * time.Second) {
		go s.playStream(fmt.Sprintf("calm-%d", s.ids.Add(1)), kolkata[0], kolkata[1])
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		runners[0].crash()
		time.Sleep(flapDown)
		runners[0].late = flapLate
		runners[0].start(f.again)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range f.streams {
		group.Go(func() {
			t := s.playStream(fmt.Sprintf("s-%d", s.ids.Add(1)), kolkata[i%2], kolkata[(i+1)%2])
			mu.Lock()
			defer mu.Unlock()
			all = append(all, t)
		})
		time.Sleep(1080 * time.Millisecond / time.Duration(f.streams))
	}
	if s.trouble {
		time.Sleep(flapAgain)
		runners[0].crash()
	}
	group.Wait()
	return all
}

// slowStream answers with the events after the last one that the client has.
func slowStream(r *runner, w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.s.note("runner %s (software %s) begins %s after event %d", r.id, version, q.Header.Get("Kingcuprill-Attempt-Id"), last)
	w.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id <= flapEvents; id++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, version)
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(flapGap):
		}
	}
}

// playStream sends a stream to one entry machine and takes it up once at another one if it
// breaks off.
func (s *system) playStream(id string, first, second *node) (t tried) {
	a := s.attempt(first, http.MethodPost, "/lohu930/2f", id, 12*time.Second, promptHeader(id, "400,98", 200, 200))
	s.note("client: %s at %s: status %d, %d events of %s, complete %v", id, first.name, a.status, len(a.events), versions(a.events), a.complete)
	t = tried{id: id, events: a.events, begun: len(a.events) > 0}
	if a.complete || !t.begun {
		return t
	}
	again, h := id+"b", promptHeader(id, "400,98", 200, 200)
	h["Last-Event-Id"], h["Resumes"] = a.events[len(a.events)-1].id, id
	b := s.attempt(second, http.MethodPost, "/lohu930/2f", again, 8*time.Second, h)
	s.note("client: %s takes up %s after event %s at %s: status %d, %d events of %s, complete %v", again, id, h["Last-Event-Id"], second.name, b.status, len(b.events), versions(b.events), b.complete)
	t.takenUp, t.goesOn = true, b.status == http.StatusOK && b.complete
	t.events = append(t.events, b.events...)
	return t
}

// versions names the versions of the events, in order.
func versions(events []event) (text string) {
	last := ""
	for _, e := range events {
		if e.version != last {
			text, last = text+" "+e.version, e.version
		}
	}
	return "[" + strings.TrimSpace(text) + "]"
}
