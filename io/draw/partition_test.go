package draw

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/core/quota"
	"kingcuprill/io/peer"
	"kingcuprill/io/rig/memnet"
	"kingcuprill/rpc/vm"
)

// distantVM is a control VM that answers draws after a time, without tokens while it
// knows no leader.
type distantVM struct {
	vm.VM
	takes      time.Duration
	leaderless atomic.Bool
	calls      atomic.Int64
}

// Draw grants the wanted tokens, or fails.
func (v *distantVM) Draw(ctx context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	v.calls.Add(1)
	if v.leaderless.Load() {
		return nil, peer.ToTwirp(fault.New(fault.NoQuorum, "this VM knows no leader"))
	}
	select {
	case <-time.After(v.takes):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &vm.DrawResponse{Granted: request.GetWant()}, nil
}

// drawing is an entry VM that draws from two near control VMs and a far one, which needs
// two round trips between regions.
type drawing struct {
	near   [2]*distantVM
	far    *distantVM
	client *Client
}

const throughAnotherRegion = 235 * time.Millisecond

func startDrawing(t *testing.T) *drawing {
	network := &memnet.Network{}
	t.Cleanup(network.Close)
	d := &drawing{near: [2]*distantVM{{takes: 2 * time.Millisecond}, {takes: 2 * time.Millisecond}}, far: &distantVM{takes: throughAnotherRegion}}
	var controls []string
	for _, v := range []*distantVM{d.near[0], d.near[1], d.far} {
		mux := http.NewServeMux()
		mux.Handle(vm.VMPathPrefix, vm.NewVMServer(v))
		web := network.Serve(mux)
		t.Cleanup(web.Close)
		controls = append(controls, web.Listener.Addr().String())
	}
	peers := peer.NewUnsigned("e")
	peers.Network = network.Dial
	t.Cleanup(peers.HTTP().CloseIdleConnections)
	d.client = NewClient(peers, quota.NewLimiter(), func() []string { return controls }, slog.New(slog.DiscardHandler))
	return d
}

// cut separates the near control VMs from the leader, or joins them again.
func (d *drawing) cut(separated bool) {
	for _, v := range d.near {
		v.leaderless.Store(separated)
	}
}

// drawFor draws 40 times a second and returns how many draws got tokens.
func (d *drawing) drawFor(duration time.Duration, need float64) (draws, got int64) {
	var served atomic.Int64
	var group sync.WaitGroup
	for begun := time.Now(); time.Since(begun) < duration; time.Sleep(25 * time.Millisecond) {
		draws++
		group.Go(func() {
			if tokens, _, _ := d.client.Draw(context.Background(), "o", quota.Limit{RatePerSecond: 1000, Burst: 1000}, quota.Order{Need: need, Want: 20}); tokens > 0 {
				served.Add(1)
			}
		})
	}
	group.Wait()
	return draws, served.Load()
}

// While the control VMs of a region knew no leader, each draw asked them first, and the
// control VM of the third region was given less time than it needs, so that all draws
// failed. After the partition, the near ones must serve again.
func TestDrawsSucceedThroughAnotherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrawing(t)
		if draws, got := d.drawFor(time.Second, 10); got != draws || d.far.calls.Load() > 0 {
			t.Fatalf("before: %d of %d draws got tokens, %d calls to the far control VM", got, draws, d.far.calls.Load())
		}
		d.cut(true)
		before := d.near[0].calls.Load() + d.near[1].calls.Load()
		draws, got := d.drawFor(9*time.Second, 10)
		if got != draws {
			t.Errorf("%d of %d draws got tokens during the partition", got, draws)
		}
		if calls := d.near[0].calls.Load() + d.near[1].calls.Load() - before; calls > draws/5 {
			t.Errorf("%d calls to control VMs that know no leader for %d draws", calls, draws)
		}
		d.cut(false)
		d.drawFor(6*time.Second, 10)
		before = d.far.calls.Load()
		if draws, got := d.drawFor(time.Second, 10); got != draws || d.far.calls.Load() != before {
			t.Errorf("afterwards: %d of %d draws got tokens, %d calls to the far control VM", got, draws, d.far.calls.Load()-before)
		}
	})
}

// While no control VM gives tokens, all draws together must not send more calls than they
// do when all is well.
func TestNoMoreCallsWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDrawing(t)
		d.cut(true)
		d.far.leaderless.Store(true)
		draws, got := d.drawFor(5*time.Second, 10)
		calls := d.near[0].calls.Load() + d.near[1].calls.Load() + d.far.calls.Load()
		if got > 0 || calls > draws/2 {
			t.Errorf("%d calls for %d draws, %d got tokens", calls, draws, got)
		}
		d.cut(false)
		time.Sleep(time.Second)
		if draws, got := d.drawFor(time.Second, 10); got != draws {
			t.Errorf("with a leader again, %d of %d draws got tokens", got, draws)
		}
	})
}
