//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in for one runner of a service.
type runner struct {
	world    *world
	id       string
	service  string
	zone     string
	address  string
	born     int64
	version  string
	slots    int
	sequence atomic.Int64
	state    atomic.Value // string
	beats    atomic.Bool
	controls []string // addresses of the control VMs, as the runner reaches them
	home     int      // the one that it reports to
	handle   func(r *runner, w http.ResponseWriter, request *http.Request)

	exit func()

	mu   sync.Mutex
	slow float64
}

func (w *world) addRunner(service, zone string, slots, number int, handle func(*runner, http.ResponseWriter, *http.Request), options ...func(*runner)) (*runner, error) {
	r := &runner{
		world: w, id: fmt.Sprintf("i-%s%02d", w.prefix, number), service: service, zone: zone, version: "v1", slots: slots,
		address: fmt.Sprintf("%s.%d:%s", w.base, 100+number, runnerPort), born: time.Now().UnixMilli(), handle: handle, slow: 1, controls: w.seeds, home: number,
	}
	for _, set := range options {
		set(r)
	}
	r.state.Store("ready")
	r.beats.Store(true)
	if err := r.listen(); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

func (r *runner) listen() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = server.Serve(l) }()
	r.exit = func() { server.Close() }
	r.world.closers = append(r.world.closers, r.exit)
	return nil
}

// restart starts the runner again under its id, with another version of its software.
func (r *runner) restart(version string) error {
	r.mu.Lock()
	r.born, r.version = time.Now().UnixMilli(), version
	r.mu.Unlock()
	r.sequence.Store(0)
	r.world.line("runner %s starts again, with software %s", r.id, version)
	if err := r.listen(); err != nil {
		return err
	}
	r.beats.Store(true)
	return nil
}

// crash ends the runner with all its connections.
func (r *runner) crash() {
	r.world.line("runner %s crashes", r.id)
	r.beats.Store(false)
	r.exit()
}

// start returns when the runner has started and its version.
func (r *runner) start() (born int64, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born, r.version
}

func (r *runner) beat() {
	for {
		if r.beats.Load() {
			r.report()
		}
		time.Sleep(heartbeatPeriod)
	}
}

func (r *runner) report() {
	born, version := r.start()
	body, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": version, "slots": r.slots, "state": r.state.Load(),
		"coldRemainingMs": 0, "sequence": r.sequence.Add(1), "born": born,
	})
	if index, ok := callOne(r.controls, r.home, "POST", "/api/Instances.Heartbeat/"+r.id, body); ok {
		r.home = index
	}
}

func (r *runner) speed() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slow
}

// setSlow makes the runner take x times as long.
func (r *runner) setSlow(x float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.line("runner %s works %g times as long", r.id, x)
	r.slow = x
}

func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/health":
		w.Header().Set("Kingcuprill-Instance-Id", r.id)
		return
	case "/api/report":
		born, _ := r.start()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 595690, "handles": 0, "born": born,
		})
		return
	}
	id := request.Header.Get(idHeader)
	w.Header().Set(idHeader, id)
	if expected := request.Header.Get(expectedHeader); expected != "" && expected != r.id {
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(sealHeader, "seal-"+r.id+"-"+id)
	r.handle(r, w, request)
}
