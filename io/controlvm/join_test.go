package controlvm

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"kingcuprill/io/rig/eventually"
	"kingcuprill/io/vmconfig"
	"kingcuprill/rpc/operator"
	rpc "kingcuprill/rpc/vm"
)

// otherControl is a control VM that says which control VMs there are, and leads or not.
type otherControl struct {
	rpc.VM

	controls []string
	leads    bool
	asked    atomic.Int64 // changes of the set of replicas
}

func (o *otherControl) Follow(context.Context, *rpc.FollowRequest) (*rpc.FollowResponse, error) {
	return &rpc.FollowResponse{ControlAddresses: o.controls}, nil
}

func (o *otherControl) ChangeReplicas(context.Context, *operator.ChangeReplicasRequest) (*operator.ChangeReplicasResponse, error) {
	o.asked.Add(1)
	if !o.leads {
		return nil, twirp.NewError(twirp.Unavailable, "not the leader")
	}
	return &operator.ChangeReplicasResponse{}, nil
}

func (o *otherControl) start(t *testing.T) (address string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(rpc.VMPathPrefix, rpc.NewVMServer(o))
	web := httptest.NewServer(mux)
	t.Cleanup(web.Close)
	return web.Listener.Addr().String()
}

// A control VM with an empty disk joins while none of the VMs in its settings leads. It
// must find the leader through them.
func TestJoinsThroughAVMThatDoesNotLead(t *testing.T) {
	leader := &otherControl{leads: true}
	seed := &otherControl{controls: []string{leader.start(t)}}
	v, err := New(vmconfig.Config{
		ID: "new", DataDir: t.TempDir() + "/data", PeerAddress: "127.0.0.1:1", Seeds: []string{seed.start(t)}, Heartbeat: time.Second, Replicas: 3,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	v.tomb.Go(v.maintainMembership)
	t.Cleanup(func() {
		v.tomb.Kill(nil)
		_ = v.tomb.Wait()
	})
	eventually.Until(t, "the leader is asked to add the replica", func() bool { return leader.asked.Load() > 0 })
}
