//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	lookupPath   = "/lookup/pandal%2F12"
	lookupEvery  = 50 * time.Millisecond
	lookupBefore = 3 * time.Second
	lookupAfter  = 8 * time.Second
)

func init() {
	cases["route"] = playRoute
}

// lookups counts the requests with the path lookupPath that each service has run.
type lookups struct {
	mu        sync.Mutex
	byService map[string]int
}

func lookupDocument(version int, more bool) map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "hire.example", "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 2,
			"service": service, "attempts": 2, "anonymous": false, "sticky": false, "canResume": false, "targetGapMs": 0, "homeRegions": []any{},
		}
	}
	document := deskDocument(version, "desk-old")
	routes := []any{route("r-lookup", "/lookup/", "desk-old")}
	if more {
		routes = append(routes, route("r-pandal", "/lookup/pandal/", "desk-new"))
	}
	document["routes"] = routes
	return document
}

func playRoute(w *world) (broken bool, err error) {
	for _, zone := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		w.addVM("control", zone)
	}
	entries := []*vm{w.addVM("entry", "kolkata-a"), w.addVM("entry", "kolkata-a")}
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.configure(lookupDocument(3, false), startTimeout); err != nil {
		return false, err
	}
	l := &lookups{byService: map[string]int{}}
	for i, service := range []string{"desk-old", "desk-new"} {
		if _, err := w.addRunner(service, "kolkata-a", 6, i, l.serve); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	w.line("traffic begins")
	changed := make(chan error, 1)
	go func() {
		time.Sleep(lookupBefore)
		if !w.trouble {
			changed <- nil
			return
		}
		w.line("the operator adds the route /lookup/pandal/ to desk-new")
		changed <- w.configure(lookupDocument(7, true), startTimeout)
	}()
	i := 0
	for end := time.Now().Add(lookupBefore + lookupAfter); time.Now().Before(end); time.Sleep(lookupEvery) {
		w.lookUp(entries[i%len(entries)], lookupPath)
		i++
	}
	if err := <-changed; err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.line("%s is on the route /lookup/ of desk-old in each configuration; desk-old ran %d of these requests, desk-new %d", lookupPath, l.byService["desk-old"], l.byService["desk-new"])
	return l.byService["desk-new"] > 0, nil
}

func (l *lookups) serve(r *runner, w http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	r.world.line("runner %s (%s) runs %s %s", r.id, r.service, request.RequestURI, request.Header.Get(idHeader))
	l.mu.Lock()
	if strings.HasPrefix(request.RequestURI, lookupPath) {
		l.byService[r.service]++
	}
	l.mu.Unlock()
	time.Sleep(15 * time.Millisecond)
	fmt.Fprintf(w, "record of %s", r.service)
}

// lookUp sends one request as a client.
func (w *world) lookUp(entry *vm, path string) {
	id := w.newID()
	request, err := http.NewRequest("GET", "http://"+entry.ip+":"+frontPort+path, nil)
	if err != nil {
		w.line("%v", err)
		return
	}
	request.Host = "hire.example"
	request.Header.Set(idHeader, id)
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(leftHeader, "5000")
	w.line("client sends GET %s %s to %s", path, id, entry.name)
	answer, err := streamClient.Do(request)
	if err != nil {
		w.line("client has no answer to %s: %v", id, err)
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	w.line("client gets %d %q for %s, error %v", answer.StatusCode, body, id, err)
}
