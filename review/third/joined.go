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

// joinedVersions: a runner crashes, starts again under its id with other software, and crashes
// again before its first late heartbeat has come. Clients take up the streams that had begun
// there.
func joinedVersions(s *system) (broken bool) {
	const (
		runners  = 6 // as in the largest region of the small deployment; one of them crashes
		streams  = 72
		events   = 14
		gap      = 250 * time.Millisecond
		late     = 4 * time.Second
		allowed  = 2 // streams with events of two versions
		calmTime = 66 * time.Second
	)
	s.startAll()
	s.put(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-stream", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1000, "priority": 1,
			"service": "planner", "attempts": 2, "anonymous": false, "sticky": true, "canResume": true, "targetGapMs": 400, "homeRegions": []any{},
		}},
		"services": []any{map[string]any{
			"name": "planner", "healthPath": "/health", "connectionLimit": 360, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
			"engine": map[string]any{"slots": 64, "kvTokens": 595690, "kvTokenBytes": 35136, "linkMbps": 1500000.0, "moves": true, "backups": true, "stride": 7, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []string{"key-1"}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 5000000, "burst": 5000000, "homeRegions": []any{}}},
	})
	stream := func(r *runner, w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		version := r.version
		r.mu.Unlock()
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		s.note("runner %s (software %s) begins %s after event %d", r.id, version, q.Header.Get("Kingcuprill-Attempt-Id"), last)
		w.Header().Set("Content-Type", "text/event-stream")
		for id := last + 1; id <= events; id++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, version)
			w.(http.Flusher).Flush()
			select {
			case <-q.Context().Done():
				return
			case <-time.After(gap):
			}
		}
	}
	all := []*runner{}
	for i := range runners {
		r := s.newRunner(fmt.Sprintf("i-planner-%d", i+1), "planner", "kolkata-a", 31+i, 8080, 64)
		r.serve = stream
		r.start("v1")
		all = append(all, r)
	}
	s.waitReady()
	header := func(id string) map[string]string {
		return map[string]string{
			"Authorization": "Bearer key-1", "Kingcuprill-Model": "m", "Kingcuprill-Token-Counts": "400,98",
			"Kingcuprill-Prompt-Prefix": fmt.Sprintf("%x:200,%x:200", "shared"+id, "own"+id),
		}
	}
	// play sends a stream and takes it up once if it breaks off.
	play := func(id string, first, second *node) (got []event, complete bool) {
		a := s.attempt(first, http.MethodPost, "/lohu930/2f", id, 12*time.Second, header(id))
		s.note("client: %s at %s: status %d, %d events of %s, complete %v", id, first.name, a.status, len(a.events), versions(a.events), a.complete)
		if a.complete || len(a.events) == 0 {
			return a.events, a.complete
		}
		again, h := id+"b", header(id)
		h["Last-Event-Id"], h["Resumes"] = a.events[len(a.events)-1].id, id
		b := s.attempt(second, http.MethodPost, "/lohu930/2f", again, 8*time.Second, h)
		s.note("client: %s takes up %s after event %s at %s: status %d, %d events of %s, complete %v", again, id, h["Last-Event-Id"], second.name, b.status, len(b.events), versions(b.events), b.complete)
		return append(a.events, b.events...), b.complete
	}
	kolkata := s.entries[:2]
	// Calm traffic, until the control machines have heard of one version for a minute.
	for s.until(8 * time.Second); time.Since(s.began) < calmTime; time.Sleep(2 * time.Second) {
		id := fmt.Sprintf("calm-%d", s.ids.Add(1))
		go play(id, kolkata[0], kolkata[1])
	}
	time.Sleep(4 * time.Second)
	flapping := all[0]
	if s.trouble {
		flapping.crash()
		time.Sleep(400 * time.Millisecond)
		flapping.late = late
		flapping.start("v2")
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	joined, two := 0, []string{}
	for i := range streams {
		group.Go(func() {
			id := fmt.Sprintf("s-%d", s.ids.Add(1))
			got, _ := play(id, kolkata[i%2], kolkata[(i+1)%2])
			mu.Lock()
			defer mu.Unlock()
			if v := versions(got); strings.Contains(v, "v1") && strings.Contains(v, "v2") {
				joined++
				two = append(two, id)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	if s.trouble {
		time.Sleep(1200 * time.Millisecond)
		flapping.crash()
	}
	group.Wait()
	s.note("%d of %d streams hold events of two software versions: %v", joined, streams, two)
	return joined > allowed
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
