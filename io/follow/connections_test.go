package follow

import (
	"testing"
	"time"

	"kingcuprill/io/rig/eventually"
	"kingcuprill/io/rig/memnet"
	"kingcuprill/rpc/vm"
)

// A failed poll closed the idle connections to all VMs, so that each call to any of them
// opened a new one, with another round trip, while one control VM didn't answer.
func TestFailedPollKeepsOtherConnections(t *testing.T) {
	network := &memnet.Network{}
	t.Cleanup(network.Close)
	c := startControlOn(t, network, "c", "near")
	f := startFollower(t, c)
	const gone = "192.0.2.99:80"
	eventually.Until(t, "the lease holds", f.Lease.Valid)
	f.SetSeeds([]string{gone})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, _ = f.Peers.At(c.address).Follow(t.Context(), &vm.FollowRequest{Epoch: "c", Announce: true})
	}
	if failed, opened := network.Dials(gone), network.Dials(c.address); failed < 3 || opened > 3 {
		t.Errorf("%d connections were opened to a VM that answers, %d attempts made at one that is gone", opened, failed)
	}
}
