//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// replacing: a core machine is replaced as planned. An empty one is started at another
// address; once it has had its time to catch up, the old one is stopped and removed. Then
// another core machine loses its disk.
func replacing(w *world) verdict {
	const catchUp = 4 * time.Second
	w.addMachines(1, 1, 1)
	late := w.addMachine("control", places[0].zone, places[0].region)
	w.linkControls()
	for _, c := range w.controls {
		for _, p := range c.through {
			p.delay = 55 * time.Millisecond
		}
	}
	for _, p := range places {
		w.startRunner("i-"+p.zone, "desk", p.zone)
	}
	all := w.machines
	w.machines, w.controls = w.machines[:len(w.machines)-1], w.controls[:3]
	w.startAll(document(1, []string{"desk"}, route{prefix: "/a/", service: "desk", kind: "idempotent"}), "/a/x")
	w.machines = all
	leader := w.leader()
	var other *machine
	for _, c := range w.others(leader) {
		other = c
	}
	w.order("/api/Configuration.Replace", document(2, []string{"desk"}, route{prefix: "/a/", service: "desk", kind: "idempotent"}))
	late.zone, late.region, late.first = leader.zone, leader.region, false
	late.start()
	w.note("%s is started, empty, at another address; it replaces %s", late.name, leader.name)
	time.Sleep(catchUp + time.Second)
	leader.remove()
	w.note("%s has been stopped by SIGTERM and is removed", leader.name)
	w.controls = append(w.others(leader), late)
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.note("%s loses its disk", other.name)
		other.kill()
		must(os.RemoveAll(filepath.Join(other.folder, "data")))
		time.Sleep(time.Second)
		other.start()
		w.note("%s is started again, empty", other.name)
	}
	time.Sleep(12 * time.Second)
	read, served := 0, 0
	for range 10 {
		for _, c := range w.controls {
			if code, _ := callOnce(http.MethodGet, "http://"+c.at(controlPort)+"/api/Configuration.Read", nil, time.Second, nil); code == http.StatusOK {
				read++
			}
		}
		if code, _, _ := w.send(w.entries[1], "/a/x", "k1"); code == http.StatusOK {
			served++
		}
		time.Sleep(300 * time.Millisecond)
	}
	return verdict{read == 0 || served < 3, fmt.Sprintf("%d of 30 reads of the configuration and %d of 10 requests were answered", read, served)}
}

// leader returns the control machine that sends most to the others.
func (w *world) leader() (found *machine) {
	before := map[*proxy]int64{}
	for _, c := range w.controls {
		for _, p := range c.through {
			before[p] = p.bytes.Load()
		}
	}
	time.Sleep(time.Second)
	most := int64(-1)
	for _, c := range w.controls {
		least := int64(1 << 60)
		for _, o := range w.others(c) {
			p := c.through[o.at(peerPort)]
			least = min(least, p.bytes.Load()-before[p])
		}
		if least > most {
			found, most = c, least
		}
	}
	return found
}
