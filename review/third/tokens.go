//go:build review3

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// passed is a request of the tenant that a runner has run.
type passed struct {
	sent, arrived time.Time
	tokens        float64
}

// keptTokens: a tenant sends a good part of its limit and then nothing. Meanwhile a
// configuration lowers the limit. When the new limit binds, the tenant sends as before.
func keptTokens(s *system) (broken bool) {
	const (
		prompt, output = 11992, 385
		cost           = prompt + output
		high, low      = 512816.0, 20000.0 // tokens a second, and burst
		share          = 0.7               // of the high limit that the tenant sends
		busy           = 8 * time.Second
		again          = 12 * time.Second
	)
	configuration := func(version int, limit float64) map[string]any {
		return map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "r-plan", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1000, "priority": 1,
				"service": "planner", "attempts": 1, "anonymous": false, "sticky": true, "canResume": false, "targetGapMs": 400, "homeRegions": []any{},
			}},
			"services": []any{planner()},
			"limits":   clientLimits(),
			"tenants":  []any{tenant(limit)},
		}
	}
	s.startAll()
	s.put(configuration(1, high))
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var all []passed
	last := 31
	for zone, count := range map[string]int{"kolkata-a": 6, "siliguri-a": 4, "durgapur-a": 2} {
		for range count {
			r := s.newRunner(fmt.Sprintf("i-planner-%d", last), "planner", zone, last, runnerPort, 64)
			last++
			r.serve = func(r *runner, w http.ResponseWriter, q *http.Request) {
				id := q.Header.Get("Kingcuprill-Attempt-Id")
				mu.Lock()
				all = append(all, passed{sent: sent[id], arrived: time.Now(), tokens: cost})
				mu.Unlock()
				s.note("runner %s runs %s", r.id, id)
				w.Header().Set("Content-Type", "text/event-stream")
				for n := range 5 {
					fmt.Fprintf(w, "id: %d\ndata: v1\n\n", n+1)
					w.(http.Flusher).Flush()
					time.Sleep(20 * time.Millisecond)
				}
			}
			r.start("v1")
		}
	}
	s.waitReady()
	var group sync.WaitGroup
	statuses := map[int]int{}
	send := func(duration time.Duration) {
		perSecond := share * high / cost
		interval := time.Duration(float64(time.Second) / perSecond)
		begun := time.Now()
		for i := 0; time.Since(begun) < duration; i++ {
			n := s.entries[i%len(s.entries)]
			group.Go(func() {
				id := fmt.Sprintf("t-%d", s.ids.Add(1))
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				a := s.attempt(n, http.MethodPost, "/lohu930/2f", id, 12*time.Second, promptHeader(id, fmt.Sprintf("%d,%d", prompt, output), 5382, prompt-5382))
				s.note("client: %s at %s: status %d", id, n.name, a.status)
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
			time.Sleep(interval)
		}
		group.Wait()
		mu.Lock()
		s.note("statuses so far: %v", statuses)
		mu.Unlock()
	}
	s.until(10 * time.Second)
	send(busy)
	limit := high
	if s.trouble {
		limit = low
		s.put(configuration(2, low))
	}
	acknowledged := time.Now()
	time.Sleep(changeTime + quotaWindow + time.Second)
	s.note("the limit has been in force for %.1f s; the tenant sends again", time.Since(acknowledged).Seconds())
	binds := time.Now()
	send(again)
	mu.Lock()
	defer mu.Unlock()
	allowed := (limit*quotaWindow.Seconds()+limit)*(1+quotaOver) + quotaSlack
	most := mostTokens(all, binds)
	s.note("in some %v, %.0f tokens of the tenant were sent and ran; the rule allows %.0f", quotaWindow, most, allowed)
	return most > allowed
}

// mostTokens returns the most tokens of requests that were sent and arrived within one window
// that begins at a time or later.
func mostTokens(all []passed, from time.Time) (most float64) {
	slices.SortFunc(all, func(a, b passed) int { return a.arrived.Compare(b.arrived) })
	for i, first := range all {
		if first.sent.Before(from) {
			continue
		}
		sum := 0.0
		for _, p := range all[i:] {
			if p.arrived.Sub(first.sent) <= quotaWindow && !p.sent.Before(first.sent) {
				sum += p.tokens
			}
		}
		most = max(most, sum)
	}
	return most
}
