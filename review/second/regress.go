//go:build review2

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	deskWork      = 100 * time.Millisecond
	deskSlots     = 6
	deskQueue     = 24
	deskPerSecond = 90
	rollbackSlack = 250 * time.Millisecond
	cutFor        = 5 * time.Second
)

// deskRun is one run of a booking: its entry VM is the one that the client sent it to.
type deskRun struct {
	service   string
	runner    string
	sent, ran time.Time
	entry     string
}

// desks are the runners of two plain services, and what they have run.
type desks struct {
	mu      sync.Mutex
	busy    map[string]int
	waiting map[string]int
	sent    map[string]deskRun // by id of the request
	runs    []deskRun
}

func init() {
	cases["regress"] = playRegress
}

func deskDocument(version int, service string) map[string]any {
	plain := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "connectionLimit": 96, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-hold", "host": "hire.example", "pathPrefix": "/hold/", "kind": "non_idempotent", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 2,
			"service": service, "attempts": 1, "anonymous": false, "sticky": false, "canResume": false, "targetGapMs": 0, "homeRegions": []any{},
		}},
		"services": []any{plain("desk-old"), plain("desk-new")},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "huka270", "apiKeys": []any{"k1"}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 0, "burst": 0, "homeRegions": []any{}}},
	}
}

func playRegress(w *world) (broken bool, err error) {
	for _, zone := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		w.addVM("control", zone)
	}
	cut := w.addVM("entry", "kolkata-a")
	for _, zone := range []string{"kolkata-a", "siliguri-a", "siliguri-a", "durgapur-a", "durgapur-a"} {
		w.addVM("entry", zone)
	}
	var proxies []*proxy
	for _, control := range w.vms[:3] {
		p, err := w.newProxy(control.ip + ":" + peerPort)
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
		cut.through = append(cut.through, forwarding{Address: control.ip + ":" + peerPort, Through: p.address})
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.configure(deskDocument(3, "desk-old"), startTimeout); err != nil {
		return false, err
	}
	d := &desks{busy: map[string]int{}, waiting: map[string]int{}, sent: map[string]deskRun{}}
	for i, zone := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		for j, service := range []string{"desk-old", "desk-new"} {
			if _, err := w.addRunner(service, zone, deskSlots, 2*i+j, d.serve); err != nil {
				return false, err
			}
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	w.line("traffic begins")
	ended := make(chan error, 1)
	go func() { ended <- d.change(w, proxies) }()
	var group sync.WaitGroup
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(rand.Int64N(int64(2 * time.Second / deskPerSecond)))) {
		group.Go(func() { d.book(w, cut) })
	}
	group.Wait()
	if err := <-ended; err != nil {
		return false, err
	}
	return d.judge(w), nil
}

// change cuts the entry VM off from all control VMs, and changes the configuration meanwhile.
func (d *desks) change(w *world, proxies []*proxy) error {
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.line("the first entry VM is partitioned from all control VMs")
		for _, p := range proxies {
			p.cut.Store(true)
		}
	}
	time.Sleep(200 * time.Millisecond)
	err := w.configure(deskDocument(7, "desk-new"), 3*time.Second)
	time.Sleep(cutFor - 200*time.Millisecond)
	for _, p := range proxies {
		p.cut.Store(false)
	}
	w.line("the partition ends")
	return err
}

func (d *desks) serve(r *runner, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(idHeader)
	_, _ = io.Copy(io.Discard, request.Body)
	d.mu.Lock()
	for waited := false; d.busy[r.id] >= r.slots && (waited || d.waiting[r.id] < deskQueue); waited = true {
		d.waiting[r.id]++
		d.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		d.mu.Lock()
		d.waiting[r.id]--
	}
	if d.busy[r.id] >= r.slots {
		d.mu.Unlock()
		r.world.line("runner %s (%s) is full and has not run %s", r.id, r.service, id)
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.busy[r.id]++
	run := d.sent[id]
	run.service, run.runner, run.ran = r.service, r.id, time.Now()
	d.runs = append(d.runs, run)
	d.mu.Unlock()
	r.world.line("runner %s (%s) runs %s", r.id, r.service, id)
	time.Sleep(deskWork)
	d.mu.Lock()
	d.busy[r.id]--
	d.mu.Unlock()
	fmt.Fprintf(w, "booked %s", id)
}

// book sends one request as a client.
func (d *desks) book(w *world, entry *vm) {
	id := w.newID()
	request, _ := http.NewRequest("POST", "http://"+entry.ip+":"+frontPort+"/hold/x", strings.NewReader(strings.Repeat("x", 600)))
	request.Host = "hire.example"
	request.Header.Set(idHeader, id)
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(leftHeader, "5000")
	d.mu.Lock()
	d.sent[id] = deskRun{sent: time.Now(), entry: entry.name}
	d.mu.Unlock()
	w.line("client sends %s to %s", id, entry.name)
	answer, err := streamClient.Do(request)
	if err != nil {
		w.line("client has no answer to %s: %v", id, err)
		return
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	w.line("client gets %d for %s, error %v", answer.StatusCode, id, err)
}

// judge looks for requests that the old service ran, sent to a machine later than 250 ms after a
// request sent to the same machine had been run by the new one.
func (d *desks) judge(w *world) (broken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := time.Time{}
	for _, run := range d.runs {
		if run.service == "desk-new" && (first.IsZero() || run.ran.Before(first)) {
			first = run.ran
		}
	}
	late, after := 0, 0
	for _, run := range d.runs {
		if first.IsZero() || run.sent.Sub(first) <= rollbackSlack {
			continue
		}
		after++
		if run.service == "desk-old" {
			late++
		}
	}
	w.line("%d runs; of %d requests that were sent later than %v after the first run by the new service, the old one ran %d", len(d.runs), after, rollbackSlack, late)
	return late > 0
}
