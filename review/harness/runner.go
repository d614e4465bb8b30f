//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a sound runner: it answers 421 to requests for other instances, echoes the id
// and signs its answers.
type runner struct {
	world   *world
	id      string
	service string
	zone    string
	version string
	address string
	slots   int
	born    int64
	work    time.Duration

	sequence atomic.Int64
	state    atomic.Value // string
	mu       sync.Mutex
	runs     []run
	handler  http.HandlerFunc // in place of serve, nil if there is none
}

// run is a request that has reached a runner.
type run struct {
	id   string
	path string
	at   time.Time
}

func (w *world) startRunner(id, service, zone string) *runner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r := &runner{world: w, id: id, service: service, zone: zone, version: "v1", address: listener.Addr().String(), slots: 64, born: time.Now().UnixMilli(), work: 15 * time.Millisecond}
	r.state.Store("ready")
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	go server.Serve(listener)
	stop := make(chan struct{})
	go r.beat(stop)
	w.atEnd(func() {
		close(stop)
		server.Close()
	})
	return r
}

func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Kingcuprill-Attempt-Id")
	header := w.Header()
	header.Set("Kingcuprill-Attempt-Id", id)
	if expected := request.Header.Get("Kingcuprill-Expected-Instance"); expected != "" && expected != r.id {
		header.Set("Kingcuprill-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, path: request.URL.Path, at: time.Now()})
	r.mu.Unlock()
	r.world.note("runner %s (%s in %s) runs %s %s", r.id, r.service, r.zone, id, request.URL.Path)
	if r.handler != nil {
		r.handler(w, request)
		return
	}
	time.Sleep(r.work)
	header.Set("Kingcuprill-Response-Seal", "seal-"+r.id+"-"+id)
	fmt.Fprintf(w, "done by %s", r.id)
}

// beat sends heartbeats to the control machines.
func (r *runner) beat(stop chan struct{}) {
	for {
		r.report()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report sends a heartbeat, and tells when it was acknowledged and by whom.
func (r *runner) report() (at time.Time, by *machine) {
	body, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": r.state.Load(),
		"coldRemainingMs": 0, "sequence": r.sequence.Add(1), "born": r.born,
	})
	for _, i := range rand.Perm(len(r.world.controls)) {
		c := r.world.controls[i]
		if code, _ := callOnce(http.MethodPost, "http://"+c.at(controlPort)+"/api/Instances.Heartbeat/"+r.id, body, time.Second, nil); code == http.StatusOK {
			return time.Now(), c
		}
	}
	return at, nil
}

func (r *runner) since(t time.Time) (found []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs {
		if one.at.After(t) {
			found = append(found, one)
		}
	}
	return found
}

// callOnce makes one call on a connection of its own, and closes it.
func callOnce(method, url string, body []byte, timeout time.Duration, header map[string]string) (code int, answer []byte) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if host := header["Host"]; host != "" {
		request.Host = host
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport, Timeout: timeout}).Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer response.Body.Close()
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(response.Body); err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode, buffer.Bytes()
}
