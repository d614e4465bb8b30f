package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/membership"
	"kingcuprill/core/target"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	"kingcuprill/io/rig/eventually"
	"kingcuprill/rpc/vm"
)

// node is a VM that serves only the calls of the gossip.
type node struct {
	vm.VM   // calls that aren't used
	gossip  *Gossip
	address string
}

// Gossip answers another VM.
func (n *node) Gossip(_ context.Context, message *vm.GossipMessage) (*vm.GossipMessage, error) {
	return n.gossip.HandleMessage(message), nil
}

// startNodes starts VMs, each in a data centre of its own, and waits until they know
// each other.
func startNodes(t *testing.T, count int) (nodes []*node) {
	t.Helper()
	for i := range count {
		nodes = append(nodes, startNode(t, fmt.Sprint("vm-", i), nodes))
	}
	eventually.Until(t, "all know each other", func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return len(n.gossip.VMState.Members.View.Read().Usable()) < count })
	})
	return nodes
}

func startNode(t *testing.T, id string, known []*node) *node {
	t.Helper()
	n := &node{}
	mux := http.NewServeMux()
	mux.Handle(vm.VMPathPrefix, vm.NewVMServer(n))
	web := httptest.NewUnstartedServer(mux)
	n.address = web.Listener.Addr().String()
	self := membership.Member{ID: id, Region: id, DataCentre: id, PeerAddress: n.address, Incarnation: 1}
	n.gossip = &Gossip{
		VMState: vmstate.New(self, time.Minute), Peers: peer.NewUnsigned(id), Log: slog.New(slog.DiscardHandler),
		Withdrawn: func([]string) {}, Uncommitted: func() []string { return nil },
	}
	for _, other := range known {
		n.gossip.Seeds = append(n.gossip.Seeds, other.address)
	}
	web.Start()
	var run tomb.Tomb
	run.Go(func() error { return n.gossip.Run(&run) })
	t.Cleanup(func() {
		run.Kill(nil)
		_ = run.Wait()
		web.Close()
	})
	return n
}

func (n *node) announce(id, service string) {
	n.gossip.VMState.Targets.Announce(target.Announcement{ID: id, BootID: "1", Service: service, Capacity: 1}, time.Now())
}

// knows reports whether this VM has heard that a service has targets elsewhere.
func (n *node) knows(service string) bool {
	for _, s := range n.gossip.VMState.Summaries.Read().ByDataCentre {
		for _, row := range s.Services {
			if row.Name == service {
				return true
			}
		}
	}
	return false
}

// A request waits 3 s for a target; by then all VMs must know of a new one.
func TestNewTargetIsKnownInTime(t *testing.T) {
	const (
		clusters   = 30
		targetWait = 3 * time.Second
	)
	var mu sync.Mutex
	var times []time.Duration
	t.Run("clusters", func(t *testing.T) {
		for i := range clusters {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				nodes := startNodes(t, 3)
				time.Sleep(2 * time.Second * time.Duration(i) / clusters) // any moment between two summaries
				begun := time.Now()
				nodes[0].announce("first", "desk")
				eventually.Until(t, "all know the service", func() bool { return nodes[1].knows("desk") && nodes[2].knows("desk") })
				mu.Lock()
				defer mu.Unlock()
				times = append(times, time.Since(begun))
			})
		}
	})
	slices.Sort(times)
	t.Logf("median %v, most %v", times[len(times)/2], times[len(times)-1])
	for _, took := range times {
		if took > targetWait {
			t.Errorf("a VM knew of the target after %v", took)
		}
	}
}
