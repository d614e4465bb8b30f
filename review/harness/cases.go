//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Zones and regions of a small deployment.
var places = []struct{ zone, region string }{{"hofudborg-a", "hofudborg"}, {"nordurland-a", "nordurland"}, {"austurland-a", "austurland"}}

// addMachines adds a control machine for each region, and entry machines.
func (w *world) addMachines(entries ...int) {
	for _, p := range places {
		w.addMachine("control", p.zone, p.region)
	}
	for i, count := range entries {
		for range count {
			w.addMachine("entry", places[i].zone, places[i].region)
		}
	}
}

// linkControls puts a link between each two control machines.
func (w *world) linkControls() {
	for _, from := range w.controls {
		for _, to := range w.controls {
			if from != to {
				from.through[to.at(peerPort)] = newProxy(w, to.at(peerPort))
			}
		}
	}
}

// follower returns a control machine that doesn't lead: it sends to one other only.
func (w *world) follower() *machine {
	before := map[*proxy]int64{}
	for _, c := range w.controls {
		for _, p := range c.through {
			before[p] = p.bytes.Load()
		}
	}
	time.Sleep(time.Second)
	for _, c := range w.controls {
		for _, p := range c.through {
			if p.bytes.Load()-before[p] < 200 {
				return c
			}
		}
	}
	panic("no control machine looks like a follower")
}

// evacuation: a zone's evacuation is ended and started again while one control machine is
// cut off from the others. What that machine was asked first, and has not answered, is
// carried out after the cut.
func evacuation(w *world) verdict {
	const zone = "hofudborg-a"
	w.addMachines(1, 1, 1)
	w.linkControls()
	inZone := w.startRunner("i-a1", "desk", zone)
	w.startRunner("i-b1", "desk", "nordurland-a")
	w.startRunner("i-c1", "desk", "austurland-a")
	w.startAll(document(1, []string{"desk"}, route{prefix: "/a/", service: "desk", kind: "idempotent"}), "/a/x")

	w.order("/api/Evacuation.Start/"+zone, nil)
	time.Sleep(6 * time.Second)
	cut := w.follower()
	if w.trouble {
		w.note("%s is cut off from the other control machines (silent)", cut.name)
		w.cutOff(cut, true)
	}
	healed := time.After(5 * time.Second)
	w.order("/api/Evacuation.End/"+zone, nil, cut)
	time.Sleep(2 * time.Second)
	others := w.others(cut)
	acknowledged, _ := w.order("/api/Evacuation.Start/"+zone, nil, others[0], others[1])
	<-healed
	if w.trouble {
		w.note("the cut of %s ends", cut.name)
		w.cutOff(cut, false)
	}
	// Judged from touchMs after the cut on, when all machines are in touch again.
	judged := later(acknowledged.Add(evacuateIn), time.Now().Add(touch))
	for time.Now().Before(judged.Add(3 * time.Second)) {
		for _, e := range w.entries {
			w.send(e, "/a/x", "k1")
		}
		time.Sleep(100 * time.Millisecond)
	}
	reached := inZone.since(judged)
	w.note("%s was evacuated again at %.3f s and not taken back; judged from %.3f s on", zone, acknowledged.Sub(w.begun).Seconds(), judged.Sub(w.begun).Seconds())
	return verdict{len(reached) > 0, fmt.Sprintf("%d requests have reached the runner of the evacuated zone", len(reached))}
}

// cutOff cuts the links between a control machine and the others, or makes them whole.
func (w *world) cutOff(c *machine, cut bool) {
	for _, from := range w.controls {
		for to, p := range from.through {
			if from == c || to == c.at(peerPort) {
				p.set(cut)
			}
		}
	}
}

func (w *world) others(c *machine) (found []*machine) {
	for _, o := range w.controls {
		if o != c {
			found = append(found, o)
		}
	}
	return found
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// directory: the control machine of a region is down, and then an entry machine of the
// region is lost too.
func directory(w *world) verdict {
	w.addMachines(3, 1, 1)
	for _, p := range places {
		w.startRunner("i-"+p.zone, "desk", p.zone)
	}
	w.startAll(document(1, []string{"desk"}, route{prefix: "/a/", service: "desk", kind: "idempotent"}), "/a/x")
	control, lost := w.controls[0], w.entries[2]
	if w.trouble {
		w.note("%s is killed and stays down", control.name)
		control.kill()
		time.Sleep(time.Second)
	}
	w.note("%s is killed and stays down", lost.name)
	lost.kill()
	killed := time.Now()
	time.Sleep(time.Until(killed.Add(touch + 3*time.Second + 500*time.Millisecond)))
	named := 0
	for range 10 {
		for _, asked := range w.entries[:2] {
			url := "http://" + asked.at(directoryPort) + "/api/resolve?name=" + host + "&region=" + control.region + "&zone=" + control.zone
			code, answer := callOnce(http.MethodGet, url, nil, time.Second, nil)
			w.note("%s answers the directory call with %d %s", asked.name, code, strings.TrimSpace(string(answer)))
			if code == http.StatusOK && names(answer, lost.at(frontPort)) && names(answer, asked.at(frontPort)) {
				named++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return verdict{named > 3, fmt.Sprintf("%d of 20 directory answers name %s beside a running machine, over %v after it was killed", named, lost.at(frontPort), touch+3*time.Second)}
}

func names(answer []byte, address string) bool {
	var directory struct{ Addresses []string }
	if err := json.Unmarshal(answer, &directory); err != nil {
		return false
	}
	for _, a := range directory.Addresses {
		if a == address {
			return true
		}
	}
	return false
}

// forwarding: an entry machine that serves a version forwards to one of another region
// that is cut off from the control machines and has an older version.
func forwarding(w *world) verdict {
	w.addMachines(1, 1, 1)
	a, b := w.entries[0], w.entries[1]
	for _, c := range w.controls {
		b.through[c.at(peerPort)] = newProxy(w, c.at(peerPort))
	}
	var old []*runner
	for _, p := range places {
		old = append(old, w.startRunner("i-old-"+p.zone, "old", p.zone))
		w.startRunner("i-new-"+p.zone, "new", p.zone)
	}
	services := []string{"old", "new"}
	home := []string{b.region}
	version := func(number int, service string) []byte {
		return document(number, services, route{prefix: "/home/", service: service, kind: "idempotent", homes: home}, route{prefix: "/any/", service: service, kind: "idempotent"})
	}
	w.startAll(version(1, "old"), "/any/x")
	w.waitFor("a request is served by the other region", func() bool {
		code, _, _ := w.send(a, "/home/x", "k1")
		return code == http.StatusOK
	})
	if w.trouble {
		w.note("%s is cut off from the control machines (silent)", b.name)
		for _, p := range b.through {
			p.set(true)
		}
	}
	healed := time.After(5500 * time.Millisecond)
	w.order("/api/Configuration.Replace", version(2, "new"))
	w.waitFor("a runner has seen version 2 by way of "+a.name, func() bool {
		_, _, answer := w.send(a, "/any/x", "k1")
		return strings.Contains(string(answer), "i-new-")
	})
	seen := time.Now()
	w.note("a runner has seen version 2 by way of %s", a.name)
	time.Sleep(rollbackSlack + 50*time.Millisecond)
	sent, stale := 0, 0
	for time.Since(seen) < 4*time.Second {
		_, id, _ := w.send(a, "/home/x", "k1")
		sent++
		for _, r := range old {
			for _, one := range r.since(seen) {
				if one.id == id {
					stale++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	<-healed
	return verdict{stale > 0, fmt.Sprintf("%d of %d requests that %s took after version 2 was seen were run by the service of version 1 only", stale, sent, a.name)}
}

// idFor returns an id of a runner for which a machine, and not another one, gives out the
// places, as core/place chooses it. Any id is as good for a runner.
func idFor(wanted, other *machine, number int) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("i-%d%04x", number, i)
		if xxhash.Sum64String(wanted.name+"\x00"+id) > xxhash.Sum64String(other.name+"\x00"+id) {
			return id
		}
	}
}

// draining: a runner drains just after an entry machine of its region was cut off from the
// control machines. The other entry machine knows that it drains, and gets places there
// from the one that is cut off.
func draining(w *world) verdict {
	const service = "planner"
	w.addMachines(2, 1, 1)
	sound, cutOff := w.entries[0], w.entries[1]
	for _, c := range w.controls {
		cutOff.through[c.at(peerPort)] = newProxy(w, c.at(peerPort))
	}
	start := func(id, zone string) *runner {
		r := w.startRunner(id, service, zone)
		r.handler = streamAfter(r, 700*time.Millisecond)
		return r
	}
	zone := places[0].zone
	leaving := start(idFor(cutOff, sound, 1), zone)
	for i := 2; i <= 4; i++ {
		owner, other := cutOff, sound
		if i == 4 {
			owner, other = sound, cutOff
		}
		start(idFor(owner, other, i), zone)
	}
	start("i-n", places[1].zone)
	start("i-o", places[2].zone)
	first := engineDocument(1, service)
	for _, m := range w.machines {
		m.start()
	}
	w.waitFor("a first configuration is acknowledged", func() bool {
		code, _ := callOnce(http.MethodPost, "http://"+w.controls[0].at(controlPort)+"/api/Configuration.Replace", first, time.Second, nil)
		return code == http.StatusOK
	})
	for _, e := range w.entries {
		w.waitFor("a request is served at "+e.name, func() bool {
			code, _ := w.generate(e, 0)
			return code == http.StatusOK
		})
	}
	time.Sleep(7 * time.Second)

	// A release: the new runner comes first, then the old one drains.
	start(idFor(sound, cutOff, 5), zone)
	time.Sleep(150 * time.Millisecond)
	if w.trouble {
		w.note("%s is cut off from the control machines (silent)", cutOff.name)
		for _, p := range cutOff.through {
			p.set(true)
			time.AfterFunc(5*time.Second, func() { p.set(false) })
		}
	}
	leaving.state.Store("draining")
	acknowledged, by := leaving.report()
	if by == nil {
		panic("no control machine acknowledges that the runner drains")
	}
	w.note("%s acknowledges that runner %s drains", by.name, leaving.id)
	var clients sync.WaitGroup
	for i := range 240 { // 40 a second for 6 s
		clients.Go(func() { w.generate(sound, i) })
		time.Sleep(25 * time.Millisecond)
	}
	clients.Wait()
	late := leaving.since(acknowledged.Add(drainIn))
	for _, one := range late {
		w.note("runner %s got %s %.3f s after it was acknowledged that it drains", leaving.id, one.id, one.at.Sub(acknowledged).Seconds())
	}
	return verdict{len(late) > 0, fmt.Sprintf("%d requests that clients sent to %s have reached the draining runner later than %v after the acknowledgement", len(late), sound.name, drainIn)}
}
