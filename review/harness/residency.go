//go:build review

package main

import (
	"fmt"
	"time"
)

// residency: a route that needs no key gets a home in another region. An entry machine that
// was cut off from the control machines before goes on running its requests in its own.
func residency(w *world) verdict {
	w.addMachines(1, 1, 1)
	cutOff := w.entries[0]
	for _, c := range w.controls {
		cutOff.through[c.at(peerPort)] = newProxy(w, c.at(peerPort))
	}
	var runners []*runner
	for _, p := range places {
		runners = append(runners, w.startRunner("i-"+p.zone, "desk", p.zone))
	}
	home := places[1].region
	version := func(number int, homes ...string) []byte {
		return document(number, []string{"desk"}, route{prefix: "/open/", service: "desk", kind: "idempotent", open: true, homes: homes})
	}
	w.startAll(version(1), "/open/x")
	if w.trouble {
		w.note("%s is cut off from the control machines (silent)", cutOff.name)
		for _, p := range cutOff.through {
			p.set(true)
			time.AfterFunc(5500*time.Millisecond, func() { p.set(false) })
		}
	}
	cut := time.Now()
	acknowledged, _ := w.order("/api/Configuration.Replace", version(2, home))
	time.Sleep(time.Until(acknowledged.Add(configuration + 50*time.Millisecond)))
	sent := map[string]bool{}
	for time.Since(cut) < 5300*time.Millisecond {
		_, id, _ := w.send(cutOff, "/open/x", "")
		sent[id] = true
		time.Sleep(50 * time.Millisecond)
	}
	away := 0
	for i, r := range runners {
		for _, one := range r.since(acknowledged) {
			if sent[one.id] && places[i].region != home {
				away++
			}
		}
	}
	return verdict{away > 0, fmt.Sprintf("%d of %d requests that were sent later than %v after version 2, which gives their route the home %s, have reached a runner in another region", away, len(sent), configuration, home)}
}
