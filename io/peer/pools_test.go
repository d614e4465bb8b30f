package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/io/rig/memnet"
)

// Many calls to an overloaded VM fail together. If each of them closed the connections that
// the others have just opened, the VM would have to accept a new one for each call.
func TestCallsThatFailTogetherCloseConnectionsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &memnet.Network{}
		defer network.Close()
		busy, other := serveAnything(network), serveAnything(network)
		defer busy.Close()
		defer other.Close()
		var dials atomic.Int64
		peers := NewUnsigned("e")
		peers.Network = func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			return network.Dial(ctx, address)
		}
		defer peers.HTTP().CloseIdleConnections()
		for i := range 100 {
			for _, web := range []*httptest.Server{busy, other} {
				response, err := peers.HTTP().Get(web.URL)
				if err != nil {
					t.Fatal(err)
				}
				response.Body.Close()
			}
			peers.DropIdle(busy.Listener.Addr().String())
			time.Sleep(10 * time.Millisecond)
			if i == 20 && dials.Load() != 3 {
				t.Errorf("%d connections in 200 ms, want one to the other VM and two to the busy one", dials.Load())
			}
		}
		if got := dials.Load(); got != 4 || peers.Dropped() != 2 {
			t.Errorf("%d connections, closed %d times in a second, want 4 and 2", got, peers.Dropped())
		}
	})
}

func serveAnything(network *memnet.Network) *httptest.Server {
	return network.Serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
}
