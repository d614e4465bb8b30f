//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lostFarewell: a runner says that it leaves. The control machine that has acknowledged that is
// killed soon after and starts again. Nothing may reach the runner later than drainTime after
// the acknowledgement.
func lostFarewell(s *system) (broken bool) {
	const (
		stays   = 14 * time.Second        // after its farewell
		killed  = 1000 * time.Millisecond // after the farewell
		dark    = 500 * time.Millisecond
		traffic = 250 * time.Millisecond // between two requests at one entry machine
		events  = 55
		gap     = 100 * time.Millisecond
	)
	s.startAll()
	s.put(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-plan", "host": host, "pathPrefix": "/pule252/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1000, "priority": 1,
			"service": "planner", "attempts": 1, "anonymous": false, "sticky": true, "canResume": false, "targetGapMs": 400, "homeRegions": []any{},
		}},
		"services": []any{planner()},
		"limits":   clientLimits(),
		"tenants":  []any{tenant(5_000_000)},
	})
	var mu sync.Mutex
	acknowledged := time.Time{}
	sent := map[string]time.Time{} // by client attempt
	late, reached := 0, 0
	begin := func(r *runner, id string) {
		mu.Lock()
		defer mu.Unlock()
		if r.id != "i-planner-1" {
			return
		}
		reached++
		if acknowledged.IsZero() {
			return
		}
		after := sent[id].Sub(acknowledged)
		s.note("%s reaches %s, which leaves; it was sent %.3f s after the acknowledgement", id, r.id, after.Seconds())
		if after > drainTime {
			late++
		}
	}
	runners := []*runner{}
	for i, zone := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		r := s.newRunner(fmt.Sprintf("i-planner-%d", i+1), "planner", zone, 31+i, runnerPort, 64)
		r.serve = func(r *runner, w http.ResponseWriter, q *http.Request) {
			begin(r, q.Header.Get("Kingcuprill-Attempt-Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			for n := range events {
				fmt.Fprintf(w, "id: %d\ndata: v1\n\n", n+1)
				w.(http.Flusher).Flush()
				select {
				case <-q.Context().Done():
					return
				case <-time.After(gap):
				}
			}
		}
		beats := 0
		r.pick = func(attempt int) *node { // one control machine after the other
			if attempt == 0 {
				beats++
			}
			return s.controls[(beats+attempt)%len(s.controls)]
		}
		r.start("v1")
		runners = append(runners, r)
	}
	s.waitReady()
	stop := make(chan struct{})
	var group sync.WaitGroup
	statuses := map[string]int{}
	for _, n := range s.entries[:2] {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(traffic):
				}
				group.Go(func() {
					id := fmt.Sprintf("q-%d", s.ids.Add(1))
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					a := s.attempt(n, http.MethodPost, "/pule252/2f", id, 12*time.Second, promptHeader(id, "400,385", 200, 200))
					mu.Lock()
					defer mu.Unlock()
					statuses[fmt.Sprintf("%s %d", n.name, a.status)]++
				})
			}
		})
	}
	s.until(20 * time.Second)
	mu.Lock()
	s.note("%d requests have reached i-planner-1 before it leaves; answers so far: %v", reached, statuses)
	if reached == 0 {
		panic("no request reaches i-planner-1")
	}
	mu.Unlock()
	leaving := runners[0]
	leaving.awaitBeat(s.controls[1])
	time.Sleep(150 * time.Millisecond)
	leaving.mu.Lock()
	leaving.leaving = true
	leaving.quiet()
	body, err := json.Marshal(map[string]any{"born": leaving.born})
	must(err)
	leaving.mu.Unlock()
	if code, _ := s.call(s.controls[0], http.MethodPost, "/api/Instances.Leave/"+leaving.id, body); code/100 != 2 {
		panic("the farewell isn't acknowledged")
	}
	mu.Lock()
	acknowledged = time.Now()
	mu.Unlock()
	s.note("%s acknowledges that %s leaves", s.controls[0].name, leaving.id)
	if s.trouble {
		time.Sleep(killed)
		s.kill(s.controls[0])
		time.Sleep(dark)
		s.start(s.controls[0], false)
	}
	time.Sleep(time.Until(acknowledged.Add(stays)))
	leaving.crash() // it exits
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.note("%d requests that were sent over %v after the acknowledgement have reached %s; answers: %v", late, drainTime, leaving.id, statuses)
	return late > 0
}
