// Package targetlink finds out whether a VM reaches the targets of its region, by new
// connections to a few of them. While it reaches none, its requests go over other VMs,
// and what fails here says nothing about the targets.
package targetlink

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/place"
	"kingcuprill/core/reach"
	"kingcuprill/io/upstream"
)

const (
	// probeTimeout bounds a connection that is made to find out about the links. Targets
	// are in the region.
	probeTimeout = 250 * time.Millisecond
	// probeCount is the number of targets that are tried at once.
	probeCount = 3
	// confirmCount is the number of other targets that are tried before the links count as
	// lost. Where half of the targets have failed, all of these have in 1 of 256 cases.
	confirmCount = 8
	// recently is how long a new connection shows that the links are whole.
	recently = 300 * time.Millisecond
	// SilentAfter is how long no target may send anything, though requests wait, before
	// the links are probed.
	SilentAfter = 250 * time.Millisecond
	// retryInterval is the pause between probes of lost links.
	retryInterval = 200 * time.Millisecond
)

// Monitor watches the links of one VM. It is safe for concurrent use.
type Monitor struct {
	Targets *upstream.Client
	// Known returns the targets of the region that may be sent requests.
	Known func() []place.Address
	// Neighbour returns the address of another VM of the region. It may be nil.
	Neighbour func() (address string, found bool)
	// Changed is called when the links are lost and when they are whole again. It may be
	// nil and must not block.
	Changed func(lost bool)
	Log     *slog.Logger

	tracker *reach.Tracker
	heard   atomic.Int64 // when a target last sent something, Unix nanoseconds

	confirming atomic.Bool

	mu      sync.Mutex
	probing chan struct{} // closed when the probe that runs has ended; nil if none runs
	waiting map[*func()]bool
}

// NewMonitor returns a monitor of links that count as whole.
func NewMonitor(targets *upstream.Client, known func() []place.Address, log *slog.Logger) *Monitor {
	m := &Monitor{Targets: targets, Known: known, Log: log, tracker: reach.NewTracker(), waiting: map[*func()]bool{}}
	targets.OnDial = m.dialed
	return m
}

// Lost reports whether the VM reaches no target.
func (m *Monitor) Lost() bool {
	return m.tracker.Lost()
}

// Heard records that a target has sent something.
func (m *Monitor) Heard() {
	m.heard.Store(time.Now().UnixNano())
}

// OnLost calls f once if the links are lost before stop is called.
func (m *Monitor) OnLost(f func()) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[&f] = true
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waiting, &f)
	}
}

// CheckSilence probes the links if no target has sent anything for SilentAfter.
func (m *Monitor) CheckSilence() {
	if time.Since(time.Unix(0, m.heard.Load())) < SilentAfter || m.tracker.Reached("", SilentAfter, time.Now()) {
		return
	}
	m.probe("")
}

// ReachesOther reports whether the VM reaches another target than this one. It makes
// new connections if that isn't known.
func (m *Monitor) ReachesOther(target string) bool {
	if m.tracker.Lost() {
		return false
	}
	if len(m.choose(target, 1)) == 0 {
		return true // no other is known
	}
	if m.tracker.Reached(target, recently, time.Now()) {
		return true
	}
	m.probe(target)
	return m.tracker.Reached(target, recently, time.Now())
}

func (m *Monitor) dialed(target string, err error) {
	change := m.tracker.Dialed(target, err == nil, len(m.Known()), time.Now())
	switch {
	case change == reach.None:
		return
	case change == reach.Lost && m.slowItself(err):
		m.Log.Warn("no target of the region can be reached, and no other VM either; this VM's requests don't go over others", "last", target, "error", err)
		return
	case change == reach.Lost && m.reachesAny():
		m.Log.Info("several targets can't be reached, but others can; the links are whole", "last", target, "error", err)
		return
	case change == reach.Lost && !m.tracker.Confirm():
		return
	}
	lost := change == reach.Lost
	if lost {
		m.Log.Warn("no target of the region can be reached; requests go over other VMs", "last", target, "error", err)
		m.callWaiting()
	} else {
		m.Log.Info("targets of the region can be reached again", "target", target)
	}
	if m.Changed != nil {
		m.Changed(lost)
	}
}

// reachesAny tries some more targets, and reports whether one can be reached, or another call
// is finding that out.
//
// When many targets have failed at once, the first connections that are needed are to these,
// while requests to the others go over connections that are open already.
func (m *Monitor) reachesAny() bool {
	if m.confirming.Swap(true) {
		return true
	}
	defer m.confirming.Store(false)
	begun := time.Now()
	var group sync.WaitGroup
	for _, target := range m.choose("", confirmCount) {
		group.Go(func() { m.connect(target) })
	}
	group.Wait()
	return m.tracker.Reached("", time.Since(begun), time.Now())
}

// slowItself reports whether another VM can't be reached in time either, after targets
// haven't answered. Then this VM or its network is slow, and a way over another VM is
// slower still.
func (m *Monitor) slowItself(err error) bool {
	var failure net.Error
	if m.Neighbour == nil || !errors.As(err, &failure) || !failure.Timeout() {
		return false
	}
	address, found := m.Neighbour()
	if !found {
		return false
	}
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return true
	}
	conn.Close()
	return false
}

func (m *Monitor) callWaiting() {
	m.mu.Lock()
	waiting := m.waiting
	m.waiting = map[*func()]bool{}
	m.mu.Unlock()
	for f := range waiting {
		(*f)()
	}
}

// probe tries to reach some targets other than one, or waits for the probe that runs.
func (m *Monitor) probe(except string) {
	m.mu.Lock()
	if running := m.probing; running != nil {
		m.mu.Unlock()
		<-running
		return
	}
	done := make(chan struct{})
	m.probing = done
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.probing = nil
		m.mu.Unlock()
		close(done)
	}()
	var group sync.WaitGroup
	for _, target := range m.choose(except, probeCount) {
		group.Go(func() { m.connect(target) })
	}
	group.Wait()
}

func (m *Monitor) connect(target place.Address) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	// The result comes back by OnDial.
	_ = m.Targets.Connect(ctx, target.ID, target.Address)
}

// choose returns some targets other than one, at random.
func (m *Monitor) choose(except string, count int) (chosen []place.Address) {
	known := m.Known()
	for _, i := range rand.Perm(len(known)) {
		if known[i].ID != except && len(chosen) < count {
			chosen = append(chosen, known[i])
		}
	}
	return chosen
}

// Run tries one target after the other while the links are lost, until the tomb dies.
func (m *Monitor) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
		if !m.tracker.Lost() {
			continue
		}
		for _, target := range m.choose("", 1) {
			m.connect(target)
		}
	}
}
