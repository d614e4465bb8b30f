//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// invalidAccepted: two invalid configurations are sent, each by a slip that an operator makes.
// They must be refused. What is in force then is read back, and seen by where requests run.
func invalidAccepted(s *system) (broken bool) {
	const looks = 40
	desk := func(extra map[string]any) map[string]any {
		route := map[string]any{
			"name": "r-lookup", "host": host, "pathPrefix": "/pule252/", "kind": "idempotent", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 2,
			"service": "desk", "attempts": 2, "anonymous": false, "sticky": false, "canResume": false, "homeRegions": []any{},
		}
		for name, value := range extra {
			route[name] = value
		}
		return route
	}
	bound := tenant(5_000_000)
	bound["homeRegions"] = []any{"kolkata"}
	configuration := func(version int, route map[string]any, tenants ...any) map[string]any {
		return map[string]any{
			"version": version, "routes": []any{route},
			"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "connectionLimit": 96, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}},
			"limits":   clientLimits(), "tenants": tenants,
		}
	}
	s.startAll()
	s.put(configuration(1, desk(nil), bound))
	var mu sync.Mutex
	ran := map[string]int{} // by zone
	for i, z := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		r := s.newRunner(fmt.Sprintf("i-desk-%d", i+1), "desk", z, 31+i, runnerPort, 6)
		r.serve = func(r *runner, w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			ran[r.zone]++
			mu.Unlock()
			fmt.Fprint(w, "record")
		}
		r.start("v1")
	}
	s.waitReady()
	look := func(when string) (away int) {
		mu.Lock()
		clear(ran)
		mu.Unlock()
		statuses := map[int]int{}
		for i := range looks {
			id := fmt.Sprintf("q-%d", s.ids.Add(1))
			a := s.attempt(s.entries[i%len(s.entries)], http.MethodGet, "/pule252/2f", id, 5*time.Second, map[string]string{"Authorization": "Bearer " + key})
			statuses[a.status]++
		}
		mu.Lock()
		defer mu.Unlock()
		s.note("%s: statuses %v, runs by zone %v", when, statuses, ran)
		return looks - ran["kolkata-a"]
	}
	// send sends a configuration once and returns whether it is acknowledged and read back.
	send := func(what string, c map[string]any) (acknowledged, inForce bool) {
		data, err := json.Marshal(c)
		must(err)
		code, answer := s.call(s.controls[0], http.MethodPost, "/api/Configuration.Replace", data)
		s.note("%s: version %v is answered with %d %s", what, c["version"], code, answer)
		time.Sleep(changeTime + time.Second)
		code, answer = s.call(s.controls[1], http.MethodGet, "/api/Configuration.Read", nil)
		var read struct{ Version int }
		must(json.Unmarshal(answer, &read))
		s.note("%s: the configuration that is read back has version %d (status %d)", what, read.Version, code)
		return code == http.StatusOK && read.Version == c["version"], read.Version == c["version"]
	}
	s.until(12 * time.Second)
	if away := look("version 1"); away > 0 {
		panic("requests of the tenant run outside of its home")
	}
	if !s.trouble {
		acknowledged, _ := send("a valid change", configuration(2, desk(map[string]any{"timeoutMs": 4000}), bound))
		away := look("version 2")
		return !acknowledged || away > 0
	}
	unknown := map[string]any{"service": "desk-gone", "split": []any{map[string]any{"service": "desk", "weight": 1}}}
	_, first := send("a route names an unknown service, beside a split", configuration(2, desk(unknown), bound))
	look("version 2")
	_, second := send("two tenants share a key, and a name", configuration(3, desk(nil), bound, tenant(5_000_000)))
	away := look("version 3")
	s.note("in force: the unknown service %v, the shared key %v; %d of %d requests of the key run outside of kolkata", first, second, away, looks)
	return first || second
}
