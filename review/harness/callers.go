//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// host is that of all routes.
const host = "shop.example"

var requestIDs atomic.Int64

// order sends an order of the operator until it is acknowledged: to the given machines
// first, then to any, each for a second. It returns when it was acknowledged, and by whom.
func (w *world) order(path string, body []byte, first ...*machine) (at time.Time, by *machine) {
	if at, by = w.tryOrder(30*time.Second, path, body, first...); by == nil {
		panic("an order isn't acknowledged: " + path)
	}
	return at, by
}

// tryOrder is order for a time. by is nil if the order isn't acknowledged.
func (w *world) tryOrder(within time.Duration, path string, body []byte, first ...*machine) (at time.Time, by *machine) {
	w.note("operator orders %s", path)
	pause := 50 * time.Millisecond
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(pause) {
		to := w.controls[rand.IntN(len(w.controls))]
		if len(first) > 0 {
			to, first = first[0], first[1:]
		}
		code, answer := callOnce(http.MethodPost, "http://"+to.at(controlPort)+path, body, time.Second, nil)
		if code >= 200 && code < 300 {
			w.note("%s acknowledges %s", to.name, path)
			return time.Now(), to
		}
		w.note("%s doesn't acknowledge %s: %d %.100s", to.name, path, code, answer)
		pause = min(2*pause, time.Second)
	}
	return at, nil
}

// send sends a client's request to an entry machine and returns the status, 0 for none.
func (w *world) send(to *machine, path, key string) (code int, id string, answer []byte) {
	id = fmt.Sprintf("%016x", 0xa000000000000000+uint64(requestIDs.Add(1)))
	header := map[string]string{"Host": host, "Kingcuprill-Attempt-Id": id, "Kingcuprill-Time-Remaining": "5000"}
	if key != "" {
		header["Authorization"] = "Bearer " + key
	}
	w.note("client sends %s %s to %s", id, path, to.name)
	code, answer = callOnce(http.MethodPost, "http://"+to.at(frontPort)+path, []byte("order"), 6*time.Second, header)
	w.note("client gets %d for %s: %.60s", code, id, answer)
	return code, id, answer
}

// route is a route of a configuration.
type route struct {
	prefix  string
	service string
	kind    string
	homes   []string
	open    bool
}

// document is a configuration.
func document(version int, services []string, routes ...route) []byte {
	d := map[string]any{
		"version": version, "limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "t1", "apiKeys": []string{"k1"}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 512816, "burst": 512816, "homeRegions": []string{}}},
	}
	var list []map[string]any
	for i, r := range routes {
		homes := r.homes
		if homes == nil {
			homes = []string{}
		}
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 2,
			"service": r.service, "attempts": 2, "anonymous": r.open, "sticky": false, "canResume": false, "targetGapMs": 0, "homeRegions": homes,
		})
	}
	d["routes"] = list
	var named []map[string]any
	for _, s := range services {
		named = append(named, map[string]any{"name": s, "healthPath": "/health", "connectionLimit": 100, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0})
	}
	d["services"] = named
	data, err := json.Marshal(d)
	must(err)
	return data
}

// startAll starts all machines, and waits until a configuration is in force everywhere
// and each entry machine serves a request.
func (w *world) startAll(first []byte, path string) {
	for _, m := range w.machines {
		m.start()
	}
	w.waitFor("a first configuration is acknowledged", func() bool {
		code, _ := callOnce(http.MethodPost, "http://"+w.controls[0].at(controlPort)+"/api/Configuration.Replace", first, time.Second, nil)
		return code == http.StatusOK
	})
	for _, e := range w.entries {
		w.waitFor("a request is served at "+e.name, func() bool {
			code, _, _ := w.send(e, path, "k1")
			return code == http.StatusOK
		})
	}
	time.Sleep(7 * time.Second) // all is in touch, and the machines know each other
}
