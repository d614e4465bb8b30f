package front

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"kingcuprill/core/entry"
	"kingcuprill/core/plan"
	"kingcuprill/io/rig/memnet"
)

// The first meter of a process begins a goroutine that never ends, which a bubble of
// synctest would wait for.
var _ = gometrics.NewMeter()

// longest is longer than any target takes to answer.
const longest = time.Hour

// virtual is a network of targets, VMs and callers in virtual time.
type virtual struct {
	memnet.Network
}

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, test func(t *testing.T, v *virtual)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v := &virtual{}
		t.Cleanup(func() {
			v.Close()
			time.Sleep(longest) // until targets that still answer have ended
		})
		test(t, v)
	})
}

func (v *virtual) target(t *testing.T, answers ...func(conn net.Conn, request *http.Request)) *target {
	t.Helper()
	return serveTarget(v.Listen(""), answers)
}

// unreachable returns targets that refuse connections.
func (v *virtual) unreachable(t *testing.T, count int) (targets []*target) {
	t.Helper()
	for range count {
		s := v.target(t, reset)
		s.listener.Close()
		targets = append(targets, s)
	}
	return targets
}

func (v *virtual) fixture(t *testing.T, route plan.Route, targets ...*target) *fixture {
	t.Helper()
	w := buildFixture(t, route, targets)
	w.server.Targets.Network, w.server.Peers.Network = v.Dial, v.Dial
	w.front = v.serve(t, w.server)
	w.caller = &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return v.Dial(ctx, address) }}
	return w
}

// serve returns a server of callers or VMs.
func (v *virtual) serve(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := v.Serve(handler)
	t.Cleanup(server.Close)
	return server
}

// abroad returns the VM of a fixture for the VMs of other regions.
func (v *virtual) abroad(t *testing.T, w *fixture, region string) entry.VM {
	t.Helper()
	hop := v.serve(t, http.HandlerFunc(w.server.ServeForwarded))
	return entry.VM{ID: "vm-" + region, Region: region, PeerAddress: hop.Listener.Addr().String(), Ready: true}
}
