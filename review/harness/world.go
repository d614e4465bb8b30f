//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines; each machine has a loopback address of its own.
const (
	peerPort      = 7600
	frontPort     = 8221
	readyPort     = 8224
	controlPort   = 8229
	directoryPort = 8230
	metricsPort   = 9100
)

// Bounds of a small deployment (the sheet of rmhw-tidal).
const (
	touch         = 5 * time.Second
	configuration = 3 * time.Second
	evacuateIn    = 5 * time.Second
	drainIn       = 3 * time.Second
	rollbackSlack = 250 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
)

// Memory of the machines, in MB.
var memoryMB = map[string]int{"control": 280, "entry": 284}

// world is one system with its stand-ins.
type world struct {
	trouble bool
	begun   time.Time
	folder  string // temporary
	binary  string
	prefix  string // of the loopback addresses: "127.a.b"

	machines []*machine
	controls []*machine
	entries  []*machine
	seeds    []string
	regions  map[string]string // by zone

	mu      sync.Mutex
	record  *os.File
	closers []func()

	startMu sync.Mutex // held while a process is started
	ended   bool       // no process is started any more
}

// machine is one machine of the system, with the process that it runs.
type machine struct {
	world  *world
	role   string // control or entry
	name   string
	zone   string
	region string
	ip     string
	folder string
	first  bool
	// through holds proxies on the way to the peer addresses of other machines.
	through map[string]*proxy

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	wanted  bool // it is to run: the platform starts it again after it has ended
	ends    []string
}

func newWorld(record *os.File) (w *world, err error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	binary := filepath.Join(root, "target", "kingcuprill-system")
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("run the deploy file's build in the repository root first: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w = &world{begun: time.Now(), folder: folder, binary: binary, regions: map[string]string{}, record: record}
	w.prefix, err = takePrefix()
	return w, err
}

// takePrefix takes loopback addresses that no other run uses. It keeps one of them taken
// for as long as this process runs, as machines of another run may be down for a while.
func takePrefix() (prefix string, err error) {
	for i := range 200 {
		prefix = fmt.Sprintf("127.%d.%d", 30+(os.Getpid()+i)%200, 1+i)
		if _, err = net.Listen("tcp", net.JoinHostPort(prefix+".254", strconv.Itoa(peerPort))); err != nil {
			continue
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(prefix+".1", strconv.Itoa(peerPort)))
		if err == nil {
			listener.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses: %w", err)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	if strings.HasPrefix(format, "BROKEN") || strings.HasPrefix(format, "held") || strings.HasPrefix(format, "the case") {
		fmt.Print(line)
	}
}

// atEnd adds a function that is called when the case has ended.
func (w *world) atEnd(closer func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, closer)
}

// end ends all processes and stand-ins.
func (w *world) end() {
	w.startMu.Lock()
	w.ended = true
	w.startMu.Unlock()
	w.mu.Lock()
	closers := w.closers
	w.mu.Unlock()
	for _, m := range w.machines {
		m.kill()
	}
	for _, closer := range closers {
		closer()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
}

func (w *world) isEnded() bool {
	w.startMu.Lock()
	defer w.startMu.Unlock()
	return w.ended
}

// addMachine adds a machine that doesn't run yet.
func (w *world) addMachine(role, zone, region string) *machine {
	w.regions[zone] = region
	m := &machine{
		world: w, role: role, zone: zone, region: region, first: true, through: map[string]*proxy{},
		ip: fmt.Sprintf("%s.%d", w.prefix, len(w.machines)+1),
	}
	m.name = fmt.Sprintf("%s-%s-%d", role, zone, len(w.machines)+1)
	m.folder = filepath.Join(w.folder, m.name)
	w.machines = append(w.machines, m)
	if role == "control" {
		w.controls = append(w.controls, m)
		w.seeds = append(w.seeds, m.at(controlPort))
	} else {
		w.entries = append(w.entries, m)
	}
	return m
}

func (m *machine) at(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(port))
}

// settings returns the settings file, as deploy/vm.json.tmpl makes it. dial_through is
// added for the links that a case harms.
func (m *machine) settings() map[string]any {
	w := m.world
	listen := map[string]any{"callers": "", "readiness": "", "control": "", "directory": m.at(directoryPort), "metrics": m.at(metricsPort)}
	data := ""
	if m.role == "control" {
		listen["control"], listen["directory"] = m.at(controlPort), ""
		data = filepath.Join(m.folder, "data")
	} else {
		listen["callers"], listen["readiness"] = m.at(frontPort), m.at(readyPort)
	}
	through := []map[string]string{}
	for address, p := range m.through {
		through = append(through, map[string]string{"address": address, "through": p.address()})
	}
	return map[string]any{
		"vm":     map[string]any{"id": m.name, "region": m.region, "data_centre": m.zone, "peer_address": m.at(peerPort), "dial_through": through},
		"listen": listen,
		"control": map[string]any{
			"seeds": w.seeds[:min(3, len(w.seeds))], "peer_port": peerPort, "first_start": m.first, "data_dir": data, "failures": 1,
			"heartbeat_ms": heartbeat.Milliseconds(),
		},
		"regions": w.regions,
		"limits": map[string]any{
			"memory_mb": memoryMB[m.role], "revoke_ms": 5000, "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 54, "directory_ttl_s": 5,
		},
	}
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() {
	m.world.startMu.Lock()
	defer m.world.startMu.Unlock()
	if m.world.ended {
		return
	}
	must(os.MkdirAll(m.folder, 0o700))
	data, err := json.MarshalIndent(m.settings(), "", "  ")
	must(err)
	path := filepath.Join(m.folder, "node.json")
	must(os.WriteFile(path, data, 0o600))
	output, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	command := exec.Command(m.world.binary, m.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "KINGCUPRILL_CONFIG=" + path}
	command.Stdout, command.Stderr = output, output
	must(command.Start())
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited, m.wanted = command, exited, true
	m.mu.Unlock()
	m.first = false
	go func() {
		_ = command.Wait()
		output.Close()
		close(exited)
		m.afterEnd(command)
	}()
}

// afterEnd notes an end that the case didn't bring about. The platform starts such a
// process again after a short delay.
func (m *machine) afterEnd(command *exec.Cmd) {
	m.mu.Lock()
	again := m.wanted && m.command == command
	if again {
		m.ends = append(m.ends, command.ProcessState.String())
	}
	m.mu.Unlock()
	if !again || m.world.isEnded() {
		return
	}
	m.world.note("%s has ended by itself (%v); the platform starts it again", m.name, command.ProcessState)
	time.Sleep(500 * time.Millisecond)
	m.start()
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill ends the machine's process for good.
func (m *machine) kill() {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.wanted = false
	m.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-exited
}

// remove ends the machine's process for good with a planned stop.
func (m *machine) remove() {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.wanted = false
	m.mu.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(8 * time.Second): // graceS
		_ = command.Process.Signal(syscall.SIGKILL)
		<-exited
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// waitFor waits until a condition holds that is needed to run the case.
func (w *world) waitFor(what string, holds func() bool) {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	panic(what + ": not so within 30 s")
}
