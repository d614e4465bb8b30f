//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of every VM. Each VM has a loopback address of its own.
const (
	peerPort      = "7600"
	controlPort   = "8229"
	directoryPort = "8230"
	frontPort     = "8221"
	readyPort     = "8224"
	runnerPort    = "8080"
)

// Names of the headers on the wire.
const (
	idHeader       = "Kingcuprill-Attempt-Id"
	expectedHeader = "Kingcuprill-Expected-Instance"
	notRunHeader   = "Kingcuprill-Not-Executed"
	sealHeader     = "Kingcuprill-Response-Seal"
	leftHeader     = "Kingcuprill-Time-Remaining"
	tokensHeader   = "Kingcuprill-Token-Counts"
	prefixHeader   = "Kingcuprill-Prompt-Prefix"
	modelHeader    = "Kingcuprill-Model"
)

const (
	heartbeatPeriod = 1200 * time.Millisecond
	startTimeout    = 20 * time.Second
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	begun time.Time
	out   *os.File
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// world is one small deployment: VMs as processes, and stand-ins for the platform.
type world struct {
	*record
	folder  string
	base    string // first two numbers of the loopback addresses
	trouble bool
	vms     []*vm
	seeds   []string
	zones   map[string]string
	ids     atomic.Int64
	prefix  string // of the ids of requests
	closers []func()
}

// vm is one process of the system.
type vm struct {
	world   *world
	role    string
	zone    string
	ip      string
	name    string
	through []forwarding
	command *exec.Cmd
	ended   chan struct{}
}

// forwarding is an entry of the setting vm.dial_through.
type forwarding struct {
	Address string `json:"address"`
	Through string `json:"through"`
}

func newWorld(number string) (w *world, err error) {
	out, err := os.Create(filepath.Join("review", number, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "kingcuprill-review-")
	if err != nil {
		return nil, err
	}
	w = &world{
		record: &record{begun: time.Now(), out: out}, folder: folder, trouble: os.Getenv("TROUBLE") != "0",
		zones:  map[string]string{"kolkata-a": "kolkata", "siliguri-a": "siliguri", "durgapur-a": "durgapur"},
		prefix: fmt.Sprintf("%08x", rand.Uint32()),
	}
	for range 50 {
		w.base = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if free(w.base + ".1:" + peerPort) {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	for _, c := range w.closers {
		c()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(w.folder)
	}
	w.out.Close()
}

func (w *world) addVM(role, zone string) *vm {
	v := &vm{world: w, role: role, zone: zone, ip: fmt.Sprintf("%s.%d", w.base, len(w.vms)+1)}
	v.name = fmt.Sprintf("%s-%s-%d", role, zone, len(w.vms)+1)
	w.vms = append(w.vms, v)
	if role == "control" {
		w.seeds = append(w.seeds, v.ip+":"+controlPort)
	}
	return v
}

// settings fills in deploy/vm.json.tmpl for a VM.
func (v *vm) settings(first bool) map[string]any {
	listen := map[string]any{"directory": v.ip + ":" + directoryPort}
	control := map[string]any{
		"seeds": v.world.seeds, "peer_port": 7600, "first_start": first, "failures": 1, "heartbeat_ms": heartbeatPeriod.Milliseconds(),
	}
	if v.role == "control" {
		listen = map[string]any{"control": v.ip + ":" + controlPort}
		control["data_dir"] = filepath.Join(v.world.folder, v.name+"-data")
	} else {
		listen["callers"], listen["readiness"] = v.ip+":"+frontPort, v.ip+":"+readyPort
	}
	machine := map[string]any{"id": v.name, "region": v.world.zones[v.zone], "data_centre": v.zone, "peer_address": v.ip + ":" + peerPort}
	if len(v.through) > 0 {
		machine["dial_through"] = v.through
	}
	return map[string]any{
		"vm": machine, "listen": listen, "control": control, "regions": v.world.zones,
		"placement": map[string]any{"by_rank": true, "by_region": true},
		"limits": map[string]any{
			"memory_mb": 284, "revoke_ms": 5000, "newest_ms": 3000, "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 52, "directory_ttl_s": 5, "link_mbps": 1000,
		},
	}
}

// start starts the process with the command of the deploy file.
func (v *vm) start(first bool) error {
	data, err := json.MarshalIndent(v.settings(first), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(v.world.folder, v.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.world.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.command = exec.Command("target/kingcuprill-system", v.role)
	v.command.Env = append(os.Environ(), "KINGCUPRILL_CONFIG="+path)
	v.command.Stdout, v.command.Stderr = log, log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), v.command
	v.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	v.world.line("start %s", v.name)
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.world.line("signal %v to %s", s, v.name)
	_ = v.command.Process.Signal(s)
}

func (v *vm) kill() {
	if v.command == nil {
		return
	}
	_ = v.command.Process.Kill()
	<-v.ended
}

func (v *vm) log() string {
	data, _ := os.ReadFile(filepath.Join(v.world.folder, v.name+".log"))
	return string(data)
}

func (w *world) startAll() error {
	for _, v := range w.vms {
		if err := v.start(true); err != nil {
			return err
		}
	}
	return nil
}

// call sends an operator's or a runner's call to the control VMs, one after the other, until one
// acknowledges it. It returns the index of that one.
func (w *world) call(first int, method, path string, body []byte) (index int, ok bool) {
	return callOne(w.seeds, first, method, path, body)
}

func callOne(addresses []string, first int, method, path string, body []byte) (index int, ok bool) {
	for i := range addresses {
		index = (first + i) % len(addresses)
		request, err := http.NewRequest(method, "http://"+addresses[index]+path, bytes.NewReader(body))
		if err != nil {
			return index, false
		}
		if len(body) > 0 {
			request.Header.Set("Content-Type", "application/json")
		}
		answer, err := callClient.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if answer.StatusCode/100 == 2 {
			return index, true
		}
	}
	return index, false
}

var callClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// configure has a configuration acknowledged.
func (w *world) configure(document map[string]any, timeout time.Duration) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if index, ok := w.call(0, "POST", "/api/Configuration.Replace", body); ok {
			w.line("configuration %v is acknowledged by %s", document["version"], w.seeds[index])
			return nil
		}
	}
	return fmt.Errorf("configuration %v is not acknowledged", document["version"])
}

// awaitReady waits until all entry VMs say that they are ready.
func (w *world) awaitReady() error {
	for _, v := range w.vms {
		if v.role != "entry" {
			continue
		}
		ready := func() bool {
			answer, err := callClient.Get("http://" + v.ip + ":" + readyPort + "/api/readiness")
			if err != nil {
				return false
			}
			answer.Body.Close()
			return answer.StatusCode == http.StatusOK
		}
		until := time.Now().Add(startTimeout)
		for !ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// newID returns the id of a new attempt of a client.
func (w *world) newID() string {
	return w.prefix + strconv.FormatInt(0x10000000+w.ids.Add(1), 16)
}

// proxy passes connections on to an address until it is cut. While it is cut it passes nothing,
// as a link that is partitioned.
type proxy struct {
	address string
	cut     atomic.Bool
}

func (w *world) newProxy(target string) (p *proxy, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.closers = append(w.closers, func() { l.Close() })
	p = &proxy{address: l.Addr().String()}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(in, target)
		}
	}()
	return p, nil
}

func (p *proxy) serve(in net.Conn, target string) {
	defer in.Close()
	for p.cut.Load() {
		time.Sleep(20 * time.Millisecond)
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pass := func(from, to net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for p.cut.Load() {
				time.Sleep(20 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pass(in, out)
	go pass(out, in)
	<-done
}
