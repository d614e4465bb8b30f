//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in for a runner. It can crash and start again under its id and address,
// with another version of its software.
type runner struct {
	s                 *system
	id, service, zone string
	address           string
	slots             int
	// serve answers a request.
	serve func(r *runner, w http.ResponseWriter, q *http.Request)
	// pick returns the control machine for the next heartbeat, and the one after it if that
	// doesn't acknowledge.
	pick func(attempt int) *node
	// late is how long a heartbeat is on its way.
	late time.Duration

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	born     int64
	version  string
	sequence int64
	stop     chan struct{} // closed when the runner ends or leaves
	leaving  bool
	beaten   *node // that has acknowledged the last heartbeat
}

// newRunner returns a runner that has not started. Its address stays the same.
func (s *system) newRunner(id, service, zone string, last, port, slots int) *runner {
	r := &runner{s: s, id: id, service: service, zone: zone, slots: slots, address: fmt.Sprintf("%s.%d:%d", s.net, last, port)}
	r.pick = func(attempt int) *node { return s.controls[(last+attempt)%len(s.controls)] }
	s.mu.Lock()
	s.runners = append(s.runners, r)
	s.mu.Unlock()
	return r
}

// start starts the runner with a version of its software.
func (r *runner) start(version string) {
	listener, err := net.Listen("tcp", r.address)
	must(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.born, r.sequence, r.leaving = version, time.Now().UnixMilli(), 0, false
	r.conns, r.stop = map[net.Conn]bool{}, make(chan struct{})
	conns := r.conns
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle), ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateClosed {
			delete(conns, c)
			return
		}
		conns[c] = true
	}}
	go r.server.Serve(listener)
	go r.beat(r.stop, r.born)
	r.s.note("runner %s starts with software %s, born %d", r.id, version, r.born)
}

// crash ends the runner as a crash of its process does: its port refuses connections, and the
// open ones are reset.
func (r *runner) crash() {
	r.mu.Lock()
	server, conns := r.server, r.conns
	if server == nil {
		r.mu.Unlock()
		return
	}
	r.server = nil
	r.quiet()
	open := []net.Conn{}
	for c := range conns {
		open = append(open, c)
	}
	r.mu.Unlock()
	for _, c := range open {
		if tcp, is := c.(*net.TCPConn); is {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	r.s.note("runner %s has crashed", r.id)
}

// quiet ends the heartbeats. The caller holds mu.
func (r *runner) quiet() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
}

func (r *runner) handle(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	born, leaving := r.born, r.leaving
	r.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	switch q.URL.Path {
	case "/health":
		w.Header().Set("Kingcuprill-Instance-Id", r.id)
		return
	case "/api/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"born":%d,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":1,"kvUsed":0,"kvTotal":595690,"handles":0}`, born)
		return
	}
	w.Header().Set("Kingcuprill-Attempt-Id", q.Header.Get("Kingcuprill-Attempt-Id"))
	if expected := q.Header.Get("Kingcuprill-Expected-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Kingcuprill-Response-Seal", "seal."+r.id)
	r.serve(r, w, q)
}

// beat sends heartbeats until the runner ends.
func (r *runner) beat(stop <-chan struct{}, born int64) {
	for first := true; ; first = false {
		if !first {
			select {
			case <-stop:
				return
			case <-time.After(heartbeatPeriod):
			}
		}
		r.mu.Lock()
		r.sequence++
		body, err := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": r.sequence, "born": born, "stage": "both",
			"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		})
		late := r.late
		r.mu.Unlock()
		must(err)
		if late > 0 {
			go r.sendLate(body, late)
			continue
		}
		r.send(body)
	}
}

// sendLate sends a heartbeat that is on its way for some time.
func (r *runner) sendLate(body []byte, late time.Duration) {
	time.Sleep(late)
	r.s.note("a late heartbeat of %s arrives: %s", r.id, body)
	r.send(body)
}

// send sends a heartbeat to one control machine, and to the next one if it isn't acknowledged.
func (r *runner) send(body []byte) {
	for attempt := range 3 {
		n := r.pick(attempt)
		if code, _ := r.s.call(n, http.MethodPost, "/api/Instances.Heartbeat/"+r.id, body); code/100 == 2 {
			r.mu.Lock()
			r.beaten = n
			r.mu.Unlock()
			return
		}
	}
}

// awaitBeat waits until a control machine acknowledges a heartbeat that comes from now on.
func (r *runner) awaitBeat(n *node) {
	r.mu.Lock()
	r.beaten = nil
	r.mu.Unlock()
	for range 1000 {
		r.mu.Lock()
		found := r.beaten == n
		r.mu.Unlock()
		if found {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic("the control machine acknowledges no heartbeat")
}
