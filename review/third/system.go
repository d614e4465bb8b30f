//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of the machines, each of which has an address of its own.
const (
	frontPort     = 8221
	readyPort     = 8224
	directoryPort = 8220
	controlPort   = 8229
	internalPort  = 7600
	metricsPort   = 9100
	runnerPort    = 8080
)

// Last bytes of the addresses that runners have, from the first to the last.
const (
	firstRunner = 31
	lastRunner  = 42
)

// Bounds of the small deployments.
const (
	heartbeatPeriod = 1200 * time.Millisecond
	drainTime       = 3 * time.Second
	changeTime      = 3 * time.Second // configurationMs
	quotaWindow     = 8 * time.Second
	quotaOver       = 0.1
	quotaSlack      = 140_000.0
)

// zones are the zones of the small deployment, by their regions.
var zones = map[string]string{"kolkata-a": "kolkata", "siliguri-a": "siliguri", "durgapur-a": "durgapur"}

// node is a process of the system on a machine of its own.
type node struct {
	name, role, zone, ip string
	folder               string
	command              *exec.Cmd
	ended                chan struct{}
}

func (n *node) address(port int) string {
	return fmt.Sprintf("%s:%d", n.ip, port)
}

// system is the system with its stand-ins.
type system struct {
	trouble  bool
	began    time.Time
	folder   string
	record   *os.File
	net      string // first two bytes of the addresses
	controls []*node
	entries  []*node
	operator *http.Client
	ids      atomic.Int64

	mu      sync.Mutex
	closed  bool
	runners []*runner
}

// newSystem prepares three control and four entry machines in three zones.
func newSystem(record string, trouble bool) (s *system, err error) {
	s = &system{trouble: trouble, began: time.Now(), operator: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	found := false
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if found = s.free(); found {
			break
		}
	}
	if !found {
		return nil, errors.New("no free loopback addresses")
	}
	add := func(role, zone string, last int) *node {
		n := &node{name: fmt.Sprintf("%s-%s-%d", role, zone, last), role: role, zone: zone, ip: fmt.Sprintf("%s.%d", s.net, last)}
		n.folder = filepath.Join(s.folder, n.name)
		return n
	}
	s.controls = []*node{add("control", "kolkata-a", 11), add("control", "siliguri-a", 12), add("control", "durgapur-a", 13)}
	s.entries = []*node{add("entry", "kolkata-a", 21), add("entry", "kolkata-a", 22), add("entry", "siliguri-a", 23), add("entry", "durgapur-a", 24)}
	s.note("trouble: %v; addresses %s.x", trouble, s.net)
	return s, nil
}

// free reports whether the ports of the machines and of the runners can be bound.
func (s *system) free() bool {
	for _, last := range []int{11, 12, 13, 21, 22, 23, 24} {
		for _, port := range []int{frontPort, readyPort, directoryPort, controlPort, internalPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.net, last, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	for last := firstRunner; last <= lastRunner; last++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.net, last, runnerPort))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// note writes a line of the record, with the time since the begin.
func (s *system) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		_, _ = s.record.WriteString(line)
	}
}

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// settings returns the settings file of a node, as deploy/vm.json.tmpl gives it.
func (s *system) settings(n *node, first bool) map[string]any {
	listen := map[string]any{"metrics": n.address(metricsPort)}
	if n.role == "control" {
		listen["control"] = n.address(controlPort)
	} else {
		listen["callers"], listen["readiness"], listen["directory"] = n.address(frontPort), n.address(readyPort), n.address(directoryPort)
	}
	seeds := []string{}
	for _, c := range s.controls {
		seeds = append(seeds, c.address(controlPort))
	}
	control := map[string]any{
		"seeds": seeds, "peer_port": internalPort, "first_start": first, "failures": 1, "heartbeat_ms": heartbeatPeriod.Milliseconds(), "data_dir": "",
	}
	if n.role == "control" {
		control["data_dir"] = filepath.Join(n.folder, "data")
	}
	return map[string]any{
		"vm":        map[string]any{"id": n.name, "region": zones[n.zone], "data_centre": n.zone, "peer_address": n.address(internalPort)},
		"listen":    listen,
		"control":   control,
		"regions":   zones,
		"placement": map[string]any{"by_rank": true, "by_region": true},
		"limits": map[string]any{
			"memory_mb": 284, "revoke_ms": 5000, "newest_ms": 3000, "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 52, "directory_ttl_s": 5, "link_mbps": 1000,
		},
	}
}

// start starts the process of a node with the command of the deploy file.
func (s *system) start(n *node, first bool) {
	must(os.MkdirAll(n.folder, 0o700))
	data, err := json.Marshal(s.settings(n, first))
	must(err)
	path := filepath.Join(n.folder, "node.json")
	must(os.WriteFile(path, data, 0o600))
	output, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer output.Close()
	command := exec.Command("target/kingcuprill-system", n.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KINGCUPRILL_CONFIG=" + path}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	runtime.LockOSThread() // Pdeathsig is sent when this thread ends
	must(command.Start())
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	n.command, n.ended = command, ended
	s.note("%s starts, process %d", n.name, command.Process.Pid)
}

// kill ends the process of a node with SIGKILL.
func (s *system) kill(n *node) {
	_ = n.command.Process.Signal(syscall.SIGKILL)
	<-n.ended
	s.note("%s is killed", n.name)
}

func (s *system) startAll() {
	for _, n := range append(append([]*node{}, s.controls...), s.entries...) {
		s.start(n, true)
	}
}

// close ends all that the case has started.
func (s *system) close() {
	for _, r := range s.list() {
		r.crash()
	}
	for _, n := range append(append([]*node{}, s.controls...), s.entries...) {
		if n.command != nil {
			_ = n.command.Process.Signal(syscall.SIGKILL)
			<-n.ended
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.record.Close()
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.Rename(s.folder, keep)
	}
	_ = os.RemoveAll(s.folder)
}

func (s *system) list() []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*runner{}, s.runners...)
}

// call sends one call of a runner or the operator to a control machine.
func (s *system) call(n *node, method, path string, body []byte) (code int, answer []byte) {
	request, err := http.NewRequest(method, "http://"+n.address(controlPort)+path, bytes.NewReader(body))
	must(err)
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := s.operator.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// put sends a configuration until it is acknowledged.
func (s *system) put(configuration map[string]any) {
	data, err := json.Marshal(configuration)
	must(err)
	for i := range 60 {
		code, answer := s.call(s.controls[i%len(s.controls)], http.MethodPost, "/api/Configuration.Replace", data)
		if code == http.StatusOK {
			s.note("configuration %v is acknowledged by %s", configuration["version"], s.controls[i%len(s.controls)].name)
			return
		}
		if code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests {
			panic(fmt.Sprintf("configuration is refused with %d: %s", code, answer))
		}
		time.Sleep(250 * time.Millisecond)
	}
	panic("no configuration is acknowledged")
}

// waitReady waits until all entry machines say that they are ready.
func (s *system) waitReady() {
	for range 200 {
		ready := 0
		for _, n := range s.entries {
			response, err := s.operator.Get("http://" + n.address(readyPort) + "/api/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.entries) {
			s.note("all entry machines are ready")
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic("the entry machines don't become ready")
}

// until sleeps until a time since the begin of the case.
func (s *system) until(since time.Duration) {
	time.Sleep(time.Until(s.began.Add(since)))
}
