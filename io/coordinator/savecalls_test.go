package coordinator

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/place"
	"kingcuprill/io/peer"
	"kingcuprill/io/rig/memnet"
	"kingcuprill/rpc/entry"
)

// startCounted starts a coordinator whose calls with a name are counted.
func startCounted(t *testing.T, slots int, name string) (client *Client, address string, calls *atomic.Int64) {
	t.Helper()
	network := &memnet.Network{}
	t.Cleanup(network.Close)
	peers := peer.NewUnsigned("here")
	peers.Network = network.Dial
	calls = &atomic.Int64{}
	handler := newCoordinator(slots).Handler(peers.Credentials)
	web := network.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, name) {
			calls.Add(1)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(web.Close)
	client = NewClient(peers, slog.New(slog.DiscardHandler))
	client.SaveCalls = true
	return client, web.Listener.Addr().String(), calls
}

// At a peak, each request that was refused asked three coordinators, and these questions took
// as much of the VMs' links as the requests.
func TestFullCoordinatorsAreAskedLessOnNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, address, calls := startCounted(t, 1, "/Reserve")
		held := mustReserve(t, client, address)
		for range 100 {
			if refused, _, reason, err := client.Reserve(context.Background(), address, request()); refused != nil || reason != place.Full || err != nil {
				t.Fatalf("a place at a full target: reason %q, error %v", reason, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if asked := calls.Load(); asked > 15 {
			t.Errorf("%d calls for 100 requests in a second that were refused", asked)
		}
		held.Done(place.Success, time.Now())
		time.Sleep(longestFull + engineReportDelay)
		mustReserve(t, client, address)
	})
}

// Requests that returned after a refusal were taken for new ones, as the coordinator that is
// asked first had not heard of them.
func TestTheFirstCoordinatorHearsOfEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, address, calls := startCounted(t, 1, "/Reserve")
		mustReserve(t, client, address)
		before := calls.Load()
		for range 10 {
			first := request()
			first.Home = first.Preferred
			_, _, _, _ = client.Reserve(context.Background(), address, first)
		}
		if asked := calls.Load() - before; asked != 10 {
			t.Errorf("%d of 10 requests reach the coordinator of their first choice", asked)
		}
	})
}

// A refused request with a long answer, or a less urgent one, says nothing about others.
func TestOnlyAlikeRequestsAreHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, address, calls := startCounted(t, 1, "/Reserve")
		mustReserve(t, client, address)
		long, other := request(), request()
		long.Demand.Expected, other.Rank = 1000, 3
		for _, r := range []place.Request{request(), request(), long, other} {
			_, _, _, _ = client.Reserve(context.Background(), address, r)
		}
		if asked := calls.Load(); asked != 4 {
			t.Errorf("%d calls, want 4: only the second of two alike requests is held back", asked)
		}
	})
}

// Reports are collected into one call.
func TestReportsOnEnginesAreCollectedOnNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, apart = 20, 2 * time.Millisecond
		client, address, calls := startCounted(t, requests, "/Report")
		for i := range requests {
			held := mustReserve(t, client, address)
			time.AfterFunc(time.Duration(i)*apart, func() { held.Answered(time.Now()) })
		}
		time.Sleep(requests*apart + engineReportDelay)
		if reported := calls.Load(); reported != 1 {
			t.Errorf("%d reports for %d answers within %v, want 1", reported, requests, requests*apart)
		}
	})
}

// The time for which reports were collected made targets look slower.
func TestCollectedReportsKeepTheirTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 100 * time.Millisecond
		var predicted [2]time.Duration
		for i, collected := range []time.Duration{0, maxReportAge} {
			server := newCoordinator(1)
			for range 50 {
				a, _, _ := server.Placer.Pick(request())
				id := server.addReservation(a, time.Now().Add(time.Minute))
				time.Sleep(latency + collected)
				begun := &entry.Progress{Reservation: id, Begun: true, Ended: true, Result: uint32(place.Success), AgeNanoseconds: int64(collected)}
				_, _ = server.Report(context.Background(), &entry.ReportRequest{Progress: []*entry.Progress{begun}})
			}
			_, predicted[i], _ = server.Placer.Pick(request())
		}
		if difference := (predicted[1] - predicted[0]).Abs(); difference > latency/10 {
			t.Errorf("predicted %v with collected reports, %v without", predicted[1], predicted[0])
		}
	})
}
