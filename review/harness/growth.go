//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// grownRoutes is the number of routes by which the configuration grows, in five steps.
	grownRoutes = 5 * 370
	// changes is the number of changes of the configuration.
	changes = 270
	// recoverIn is recoverS of the sheet.
	recoverIn = 12 * time.Second
)

// grownDocument is a configuration with many routes that get no requests.
func grownDocument(version, routes int) []byte {
	all := []route{{prefix: "/a/", service: "desk", kind: "idempotent"}}
	for i := range routes {
		all = append(all, route{prefix: fmt.Sprintf("/idle%06d/%02x/", i, version%200), service: "desk", kind: "idempotent"})
	}
	return document(version, []string{"desk"}, all...)
}

// watchMemory kills a process that uses more memory than its machine has, as the platform
// does.
func (w *world) watchMemory() {
	for !w.isEnded() {
		for _, m := range w.machines {
			if used := m.memoryMB("VmHWM"); used > memoryMB[m.role] {
				w.note("%s uses %d MB, more than the %d MB of its machine; the platform kills it", m.name, used, memoryMB[m.role])
				m.signal(syscall.SIGKILL)
				time.Sleep(20 * time.Millisecond)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// memoryMB returns the resident memory of the machine's process, now (VmRSS) or at its
// peak (VmHWM).
func (m *machine) memoryMB(field string) int {
	m.mu.Lock()
	command := m.command
	m.mu.Unlock()
	if command == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// growth: the configuration grows by many routes and is changed often. Then all processes
// are killed at the same moment and are started again within a second.
func growth(w *world) verdict {
	w.addMachines(1, 1, 1)
	for _, p := range places {
		w.startRunner("i-"+p.zone, "desk", p.zone)
	}
	go w.watchMemory()
	w.startAll(grownDocument(1, 0), "/a/x")
	routes, acknowledged := 0, 1
	for version := 2; version <= changes; version++ {
		if version <= 6 && w.trouble {
			routes += grownRoutes / 5
		}
		changed := grownDocument(version, routes)
		if _, by := w.tryOrder(8*time.Second, "/api/Configuration.Replace", changed); by == nil {
			w.note("version %d is not acknowledged within 8 s; no more changes are sent", version)
			break
		}
		acknowledged = version
		if version%20 == 0 {
			w.note("memory of the control machines after %d changes of %d KB: %d, %d, %d MB", version, len(changed)>>10, w.controls[0].memoryMB("VmRSS"), w.controls[1].memoryMB("VmRSS"), w.controls[2].memoryMB("VmRSS"))
		}
	}
	w.note("all processes are killed; the last acknowledged version is %d", acknowledged)
	var ended sync.WaitGroup
	for _, m := range w.machines {
		ended.Go(m.kill)
	}
	ended.Wait()
	time.Sleep(800 * time.Millisecond)
	for _, m := range w.machines {
		m.start()
	}
	w.note("all processes are started again")
	time.Sleep(recoverIn)
	sent, served, read := 0, 0, 0
	for begun := time.Now(); time.Since(begun) < 2*touch; time.Sleep(200 * time.Millisecond) {
		for _, e := range w.entries {
			code, _, _ := w.send(e, "/a/x", "k1")
			sent++
			if code == http.StatusOK {
				served++
			}
		}
		for _, c := range w.controls {
			code, answer := callOnce(http.MethodGet, "http://"+c.at(controlPort)+"/api/Configuration.Read", nil, time.Second, nil)
			var content struct{ Version int }
			if code == http.StatusOK && json.Unmarshal(answer, &content) == nil && content.Version >= acknowledged {
				read++
			}
			w.note("%s answers the read of the configuration with %d, version %d", c.name, code, content.Version)
		}
	}
	text := fmt.Sprintf("from %v after all were started again, %d of %d requests were served, and the configuration that was acknowledged last was read back %d times", recoverIn, served, sent, read)
	return verdict{4*served < sent || read == 0, text}
}
