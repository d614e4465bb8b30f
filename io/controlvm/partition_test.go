package controlvm

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/raft"
	"kingcuprill/io/metrics"
	"kingcuprill/io/rig/memnet"
	"kingcuprill/io/vm"
	"kingcuprill/io/vmconfig"
	rpc "kingcuprill/rpc/vm"
)

const (
	localWay  = time.Millisecond // of a message, one direction
	regionWay = 55 * time.Millisecond

	dialTimeout = 500 * time.Millisecond
)

// regions are control VMs in three regions, two each, and the links between them.
type regions struct {
	network *memnet.Network
	vms     []*VM
	cut     [3][3]atomic.Bool // between regions, both directions
}

func regionOf(vm int) int {
	return vm / 2
}

// carry passes bytes on after the time of the way, and holds them up while the link is cut.
func (r *regions) carry(from, to net.Conn, way time.Duration, cut *atomic.Bool) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, 16<<10)
			n, err := from.Read(data)
			if err != nil {
				return
			}
			pieces <- piece{due: time.Now().Add(way), data: data[:n]}
		}
	}()
	defer to.Close()
	defer from.Close()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		for cut.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := to.Write(p.data); err != nil {
			return
		}
	}
}

// dial returns the function by which a VM opens connections.
func (r *regions) dial(from int) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := slices.IndexFunc(r.vms, func(v *VM) bool { return v.Config.PeerAddress == address })
		way, cut := localWay, &r.cut[regionOf(from)][regionOf(to)]
		if regionOf(from) != regionOf(to) {
			way = regionWay
		}
		wait := 2 * way
		if cut.Load() {
			wait = dialTimeout
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if cut.Load() {
			return nil, errors.New("dial timed out")
		}
		there, err := r.network.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		here, relay := net.Pipe()
		go r.carry(relay, there, way, cut)
		go r.carry(there, relay, way, cut)
		return here, nil
	}
}

// startRegions starts six control VMs of which five are voters.
func startRegions(t *testing.T) *regions {
	const voters = 5
	r := &regions{network: &memnet.Network{}}
	t.Cleanup(func() { time.Sleep(5 * time.Second) }) // calls that still run
	t.Cleanup(r.network.Close)
	var seeds []string
	for i := range 2 * len(r.cut) {
		seeds = append(seeds, fmt.Sprintf("10.0.%d.%d:80", regionOf(i), i))
	}
	for i, address := range seeds {
		v, err := New(vmconfig.Config{
			ID: address, Region: fmt.Sprint(regionOf(i)), PeerAddress: address, Seeds: seeds[:voters],
			FirstStart: true, DataDir: filepath.Join(t.TempDir(), "data"), Replicas: voters, Heartbeat: time.Second,
		}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		v.addControlVMs(seeds)
		v.peers.Network = r.dial(i)
		r.vms = append(r.vms, v)
	}
	for i, v := range r.vms[:voters] {
		web := httptest.NewUnstartedServer(rpc.NewVMServer(&vm.Server{VMState: v.VMState, Replica: v.replica, Proposer: v.Proposer}))
		web.Listener.Close()
		web.Listener = r.network.Listen(seeds[i])
		web.Start()
		v.tomb.Go(func() error { return v.replica.Run(&v.tomb) })
		t.Cleanup(func() {
			v.tomb.Kill(nil)
			v.peers.HTTP().CloseIdleConnections()
		})
	}
	return r
}

// leader returns the index of the VM that leads, or -1.
func (r *regions) leader() int {
	return slices.IndexFunc(r.vms, func(v *VM) bool { return v.replica.Status().Role == raft.Leader })
}

// pollFor polls a control VM without a pause, and returns the number of polls and how many
// of them it has confirmed.
func pollFor(v *VM, duration time.Duration) (polls, confirmed int) {
	const none = 1 << 40 // a version that nothing is newer than
	request := &rpc.FollowRequest{Epoch: v.Follow.Epoch, Revision: none, TargetsVersion: none, CrashesVersion: none, NoEntries: true}
	for begun := time.Now(); time.Since(begun) < duration; time.Sleep(50 * time.Millisecond) {
		polls++
		if v.Follow.Answer(context.Background(), request).GetConfirmed() {
			confirmed++
		}
	}
	return polls, confirmed
}

// A region is cut off from that of the leader. Confirmations in the third region took up to
// twice as long meanwhile, as the leader's failed messages to one region closed its
// connections to the other as well. They must go on as before, also right after the
// partition, and the same replica must lead.
func TestPartialPartitionLeavesConfirmationsAlone(t *testing.T) {
	metrics.New() // its library's goroutine must not belong to the test
	synctest.Test(t, func(t *testing.T) {
		r := startRegions(t)
		time.Sleep(3 * time.Second)
		leader := r.leader()
		if leader < 0 {
			t.Fatal("no replica leads")
		}
		own := regionOf(leader)
		separated, third := (own+1)%3, (own+2)%3
		term := r.vms[leader].replica.Status().Term
		for _, cut := range []bool{false, true, false} {
			r.cut[own][separated].Store(cut)
			r.cut[separated][own].Store(cut)
			polls, confirmed := pollFor(r.vms[2*third], 9*time.Second)
			if confirmed < polls || polls < 31 {
				t.Errorf("partition %v: %d of %d polls were confirmed in 9 s, want all of 31 or more", cut, confirmed, polls)
			}
			if now := r.vms[leader].replica.Status(); r.leader() != leader || now.Term != term {
				t.Errorf("partition %v: replica %d leads in term %d, it was %d in term %d", cut, r.leader(), now.Term, leader, term)
			}
		}
	})
}
