package targetlink

import (
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/place"
	"kingcuprill/io/rig/closedport"
	"kingcuprill/io/rig/eventually"
	"kingcuprill/io/rig/memnet"
	"kingcuprill/io/upstream"
)

// listen accepts connections at an address and never answers.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return listener
}

// Targets that are silent, but accept connections, are reached. When none is any more,
// the requests that wait are told, and when one is again, the links are whole.
func TestSilentTargetsAreReached(t *testing.T) {
	synctest.Test(t, testSilentTargets)
}

func testSilentTargets(t *testing.T) {
	network := &memnet.Network{}
	t.Cleanup(network.Close)
	var listeners []net.Listener
	var known []place.Address
	for _, id := range []string{"a", "b", "c", "d"} {
		listener := network.Listen("")
		go acceptAll(listener)
		listeners = append(listeners, listener)
		known = append(known, place.Address{ID: id, Address: listener.Addr().String()})
	}
	targets := upstream.NewClient(nil)
	targets.Network = network.Dial
	m := NewMonitor(targets, func() []place.Address { return known }, slog.New(slog.DiscardHandler))
	var group tomb.Tomb
	group.Go(func() error { return m.Run(&group) })
	t.Cleanup(func() { group.Kill(nil) })
	var told, changes atomic.Int64
	m.Changed = func(bool) { changes.Add(1) }
	defer m.OnLost(func() { told.Add(1) })()
	m.OnLost(func() { t.Error("told after stop") })()
	m.CheckSilence()
	if m.Lost() || !m.ReachesOther("a") {
		t.Fatal("silent targets count as not reached")
	}
	for _, listener := range listeners {
		listener.Close()
	}
	time.Sleep(recently + 50*time.Millisecond)
	m.CheckSilence()
	if !m.Lost() || told.Load() != 1 || m.ReachesOther("a") {
		t.Fatalf("lost %v, told %d", m.Lost(), told.Load())
	}
	go acceptAll(network.Listen(known[2].Address))
	eventually.Until(t, "the links are whole", func() bool { return !m.Lost() })
	if changes.Load() != 2 {
		t.Errorf("%d changes", changes.Load())
	}
}

// acceptAll accepts connections and never answers.
func acceptAll(listener net.Listener) {
	for {
		if _, err := listener.Accept(); err != nil {
			return
		}
	}
}

// One target that refuses connections has failed, as long as another is reached, or none
// other is known.
func TestOneTargetThatRefuses(t *testing.T) {
	good := listen(t, "127.0.0.1:0")
	known := []place.Address{{ID: "bad", Address: closedport.New(t)}, {ID: "good", Address: good.Addr().String()}}
	m := NewMonitor(upstream.NewClient(nil), func() []place.Address { return known }, slog.New(slog.DiscardHandler))
	for range 5 {
		if err := m.Targets.Connect(t.Context(), "bad", known[0].Address); err == nil {
			t.Fatal("connected")
		}
	}
	if m.Lost() || !m.ReachesOther("bad") {
		t.Error("links count as lost, though another target is reached")
	}
	alone := NewMonitor(upstream.NewClient(nil), func() []place.Address { return known[:1] }, slog.New(slog.DiscardHandler))
	if !alone.ReachesOther("bad") {
		t.Error("the only target isn't blamed")
	}
}

// No target answers in time. If another VM doesn't either, this VM or its network is slow,
// and its links don't count as lost.
func TestSlowVMKeepsItsLinks(t *testing.T) {
	reachable := listen(t, "127.0.0.1:0")
	for address, lost := range map[string]bool{reachable.Addr().String(): true, closedport.New(t): false} {
		known := []place.Address{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		m := NewMonitor(upstream.NewClient(nil), func() []place.Address { return known }, slog.New(slog.DiscardHandler))
		m.Neighbour = func() (string, bool) { return address, true }
		for _, target := range known {
			m.dialed(target.ID, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})
		}
		if m.Lost() != lost {
			t.Errorf("lost %v, want %v", m.Lost(), lost)
		}
		m.dialed("a", nil)
	}
}
