package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/core/regionload"
	"kingcuprill/io/coordinator"
	"kingcuprill/io/peer"
)

var abroadKind = regionload.Kind{Region: "abroad", Service: "s"}

// busyHere returns a fixture whose only target is predicted to answer after some 0.8 s, within
// the bound of 0.95 s, and that knows an idle region.
func busyHere(t *testing.T, route plan.Route, local, abroad *target) *fixture {
	t.Helper()
	w := newFixture(t, route, local)
	w.server.ByRegion = true
	w.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Targets: 1}})
	w.server.Entries.Store(&[]entry.VM{{ID: "there", Region: "abroad", PeerAddress: abroad.address, Ready: true}})
	now := time.Now()
	w.fill(t)
	forwarded := w.server.regionLoad.Send(abroadKind, 0, 0, now)
	forwarded.Learn(20*time.Millisecond, now)
	forwarded.End()
	return w
}

// fill lets a request wait at the target, whose reading takes 0.72 s.
func (w *fixture) fill(t *testing.T) {
	t.Helper()
	ahead, _, reason := w.server.Placer.Pick(place.Request{Service: "s", Demand: place.Demand{Prompt: 80_000}, Now: time.Now(), Deadline: time.Now().Add(time.Minute)})
	if ahead == nil {
		t.Fatal(reason)
	}
}

func (w *fixture) counted(name string) int64 {
	return gometrics.GetOrRegisterCounter(name, w.server.Metrics.Registry).Count()
}

// A request waited in its busy region for nearly all of its objective beside an idle one. It
// leaves, and comes back if it can't be served there.
func TestRequestsLeaveABusyRegionAndComeBack(t *testing.T) {
	refusal := status(503, hopNotRun+": slow\r\n"+hopPredicted+": 1900\r\n", "")
	for name, test := range map[string]struct {
		route     plan.Route
		change    func(*fixture)
		abroad    *target
		here      int // requests at the target of this region
		there     int
		left      int64
		returned  int64
		predicted time.Duration // at least, in the other region
	}{
		"served there": {abroad: startTarget(t, status(200, hopPredicted+": 1500\r\n", "fine")), there: 1, left: 1, predicted: 200 * time.Millisecond},
		"refused":      {abroad: startTarget(t, refusal), here: 1, there: 1, left: 1, returned: 1, predicted: 200 * time.Millisecond},
		"refused by an earlier build": {
			abroad: startTarget(t, status(503, hopNotRun+": slow\r\n", "")), here: 1, there: 1, left: 1, returned: 1, predicted: 200 * time.Millisecond,
		},
		"one VM stops": {abroad: startTarget(t, status(503, hopNotRun+": "+stoppingReason+"\r\n", "")), here: 1, there: 1, left: 1, returned: 1},
		"unreachable":  {abroad: unreachable(t, 1)[0], here: 1, left: 1, returned: 1},
		"no answer to a request that may run twice": {
			route: plan.Route{Kind: plan.Idempotent, Attempts: 2}, abroad: startTarget(t, reset), here: 1, there: 1, left: 1, returned: 1,
		},
		"homes": {route: plan.Route{Homes: []string{"region"}}, abroad: startTarget(t, refusal), here: 1},
		"off":   {change: func(w *fixture) { w.server.ByRegion = false }, abroad: startTarget(t, refusal), here: 1},
		"the other region is in backoff": {
			change: func(w *fixture) { w.server.regions.Refused(regionRoute{"abroad", "r"}, time.Now()) }, abroad: startTarget(t, refusal), here: 1,
		},
		"the other region is as busy": {
			change: func(w *fixture) {
				now := time.Now()
				w.server.regionLoad.Send(abroadKind, 0, 0, now).Learn(2*time.Second, now.Add(time.Second))
			}, abroad: startTarget(t, refusal), here: 1, predicted: time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			local := startTarget(t, status(200, "", "fine"))
			if test.route.Attempts == 0 {
				test.route.Kind, test.route.Attempts = plan.NonIdempotent, 1
			}
			w := busyHere(t, test.route, local, test.abroad)
			if test.change != nil {
				test.change(w)
			}
			code, body, response := w.ask(t, "k")
			if code != http.StatusOK || body != "fine" || response.Header.Get(hopPredicted) != "" {
				t.Errorf("status %d, %q, %v", code, body, response.Header)
			}
			if here, there := local.count(), test.abroad.count(); here != test.here || there != test.there {
				t.Errorf("%d requests at the target here, %d there", here, there)
			}
			if left, returned := w.counted("regions.left"), w.counted("regions.returned"); left != test.left || returned != test.returned {
				t.Errorf("%d left, %d returned", left, returned)
			}
			predicted := w.server.regionLoad.Predict(abroadKind, regionload.Need{Objective: time.Second}, time.Now()).Begin
			if predicted < test.predicted {
				t.Errorf("the other region is predicted to answer after %v", predicted)
			}
		})
	}
}

// Requests with nothing to gain crossed to another region.
func TestRequestsStayInARegionThatIsNotBusy(t *testing.T) {
	local, abroad := startTarget(t, status(200, "", "fine")), startTarget(t, status(200, "", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, local)
	w.server.ByRegion = true
	w.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Targets: 100}})
	w.server.Entries.Store(&[]entry.VM{{ID: "there", Region: "abroad", PeerAddress: abroad.address, Ready: true}})
	for range 50 {
		if code, _, _ := w.ask(t, "k"); code != http.StatusOK {
			t.Fatalf("status %d", code)
		}
	}
	if abroad.count() > 0 {
		t.Errorf("%d of 50 requests crossed", abroad.count())
	}
}

// The VM that forwards learns the prediction with answers and refusals, and callers never see
// it. Where the setting is off, VMs send the same bytes as before.
func TestForwardedAnswersCarryThePrediction(t *testing.T) {
	for name, test := range map[string]struct {
		on   bool
		from string
		full bool
		code int
		want bool
	}{
		"answer":      {on: true, from: "far", code: 200, want: true},
		"refusal":     {on: true, from: "far", full: true, code: 503, want: true},
		"off":         {from: "far", code: 200},
		"off, refuse": {from: "far", full: true, code: 503},
		"neighbour":   {on: true, from: "near", code: 200},
		"caller":      {on: true, code: 200},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, startTarget(t, status(200, "", "fine")))
			w.server.ByRegion = test.on
			w.server.Entries.Store(&[]entry.VM{{ID: "far", Region: "abroad", Ready: true}, {ID: "near", Region: "region", Ready: true}})
			if test.full {
				w.fill(t)
				w.fill(t)
			}
			request := w.request(t.Context(), t, "k", hopFrom, test.from)
			request.RequestURI = "/a/x"
			answer := httptest.NewRecorder()
			w.server.ServeForwarded(answer, request)
			predicted, found := regionload.Parse(answer.Header().Get(hopPredicted))
			if answer.Code != test.code || found != test.want || found && (predicted == 0 || predicted > 10*time.Second) {
				t.Errorf("status %d, prediction %q", answer.Code, answer.Header().Get(hopPredicted))
			}
		})
	}
}

// One target of a region was busy and requests left, though another coordinator had an idle
// one.
func TestRequestsLeaveOnlyIfAllCoordinatorsAreBusy(t *testing.T) {
	var targets []*target
	for range 8 {
		targets = append(targets, startTarget(t, status(200, "", "fine")))
	}
	abroad := startTarget(t, status(200, "", "fine"))
	here, there := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, targets...), newFixture(t, plan.Route{}, targets...)
	places := coordinator.NewServer(there.server.Placer, func() map[string]bool { return nil }, there.server.Lease.Valid, here.server.Log)
	web := httptest.NewServer(places.Handler(peer.NewUnsigned("there").Credentials))
	t.Cleanup(web.Close)
	here.coordinated(t, "there", web.Listener.Addr().String())
	vms := append(*here.server.Entries.Load(), entry.VM{ID: "far", Region: "abroad", PeerAddress: abroad.address, Ready: true})
	here.server.Entries.Store(&vms)
	here.server.ByRegion = true
	here.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Targets: 1}})
	for range targets { // this VM's own targets are busy in its view, those of the other coordinator are idle
		here.fill(t)
	}
	for range 8 {
		if code, _, _ := here.ask(t, "k"); code != http.StatusOK {
			t.Fatalf("status %d", code)
		}
	}
	if abroad.count() > 0 || places.Given() != 8 {
		t.Errorf("%d requests left, %d places came from the other coordinator", abroad.count(), places.Given())
	}
	for range targets {
		there.fill(t)
	}
	for range 8 {
		here.ask(t, "k")
	}
	if abroad.count() == 0 {
		t.Error("no request leaves, though all coordinators are busy")
	}
}

// Refused requests were sent to the first region by their shared part, however busy. They go
// where they are predicted to begin, with the time to read a long shared part again; those
// that belong to the home region of their part go there.
func TestRegionsAreOrderedByPrediction(t *testing.T) {
	w := newFixture(t, plan.Route{}, startTarget(t, status(200, "", "")))
	x := &exchange{server: w.server, service: "s", id: "7"}
	now := time.Now()
	for region, predicted := range map[string]time.Duration{"a": 600 * time.Millisecond, "b": 50 * time.Millisecond} {
		forwarded := w.server.regionLoad.Send(regionload.Kind{Region: region, Service: "s"}, 0, 0, now)
		forwarded.Learn(predicted, now)
		forwarded.End()
	}
	request := func(shared int) place.Request {
		parts := []place.Part{{ID: "p", Tokens: shared}, {ID: "own", Tokens: 10}}
		return place.Request{Service: "s", Objective: time.Second, Now: now, Demand: place.Demand{Prompt: shared + 10, Parts: parts}}
	}
	for name, test := range map[string]struct {
		on     bool
		shared int
		reason place.Reason
		first  string
	}{
		"off":                    {shared: 100, reason: place.Slow, first: "a"},
		"short part":             {on: true, shared: 100, reason: place.Slow, first: "b"},
		"long part":              {on: true, shared: 100_000, reason: place.Slow, first: "a"},
		"home region":            {on: true, shared: 100, reason: place.Elsewhere, first: "a"},
		"leaves, trial is due":   {on: true, shared: 100, reason: place.Busier, first: "c"},
		"nothing known of third": {on: true, shared: 100, reason: place.NoTargets, first: "b"},
	} {
		w.server.ByRegion = test.on
		if regions := x.orderRegions([]string{"a", "b", "c"}, request(test.shared), test.reason); regions[0] != test.first {
			t.Errorf("%s: %v, want %s first", name, regions, test.first)
		}
	}
}
