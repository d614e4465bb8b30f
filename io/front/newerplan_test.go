package front

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
)

// change puts a newer plan in force, in which the route or its organisation has homes.
func (w *fixture) change(routeHomes, organisationHomes []string) {
	w.server.State.Update(func(old *State) *State {
		p := old.Plan.Plan
		p.Version++
		p.Routes = append([]plan.Route{}, p.Routes...)
		p.Routes[0].Homes = routeHomes
		p.Organisations = append([]plan.Organisation{}, p.Organisations...)
		p.Organisations[0].Homes = organisationHomes
		return &State{Plan: plan.NewIndex(p), Revision: old.Revision + 1}
	})
}

// halfBody is a body whose second half comes after something else has happened.
type halfBody struct {
	halves []string
	before func()
}

func (b *halfBody) Read(p []byte) (n int, err error) {
	if len(b.halves) == 0 {
		return 0, io.EOF
	}
	if len(b.halves) == 1 {
		time.Sleep(50 * time.Millisecond) // the request is admitted
		b.before()
	}
	n = copy(p, b.halves[0])
	b.halves = b.halves[1:]
	return n, nil
}

// answerer writes a target's answer.
type answerer = func(conn net.Conn, request *http.Request)

// The homes of a request were those of its arrival: while its body came, while its target was
// asked which start it is, and at each retry, it was sent where the VM knew by then that it
// must not run.
func TestRequestsAreNotSentWhereANewerPlanForbidsIt(t *testing.T) {
	ok := status(200, "", "fine")
	repeatable := plan.Route{Kind: plan.Idempotent, Attempts: 2}
	changed := func(change func(), then answerer) answerer {
		return func(conn net.Conn, request *http.Request) {
			change()
			then(conn, request)
		}
	}
	silent := func(conn net.Conn, _ *http.Request) {
		time.Sleep(4 * time.Second)
		conn.Close()
	}
	moments := map[string]struct {
		route   plan.Route
		answers func(change func()) []answerer
		inBody  bool
		told    bool // the plan changes when the target has told its start
		before  int  // requests at the targets before the change
	}{
		"slow body":         {route: repeatable, answers: func(func()) []answerer { return []answerer{ok} }, inBody: true},
		"retry":             {route: repeatable, answers: func(change func()) []answerer { return []answerer{changed(change, reset), ok} }, before: 1},
		"hedged try":        {route: repeatable, answers: func(change func()) []answerer { return []answerer{changed(change, silent), ok} }, before: 1},
		"start of a stream": {route: resumable, answers: func(func()) []answerer { return []answerer{stream(true, 1)} }, told: true},
		"rest of a stream": {route: resumable, answers: func(change func()) []answerer {
			return []answerer{changed(change, stream(false, 1)), stream(true, 2)}
		}, before: 1},
	}
	for homes, by := range map[string][2][]string{
		"of the route": {{"abroad"}, nil}, "of the organisation": {nil, {"abroad"}}, "that still allow it": {{"region", "abroad"}, nil},
	} {
		for name, moment := range moments {
			t.Run(name+", homes "+homes, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T, v *virtual) {
					var w *fixture
					change := func() { w.change(by[0], by[1]) }
					shared := v.target(t, moment.answers(change)...)
					w = v.fixture(t, moment.route, shared, shared)
					if moment.told {
						w.server.Starts = &Starts{URI: testStarts.URI, Read: func(answer []byte) (int64, bool) {
							change()
							return testStarts.Read(answer)
						}}
					}
					request := w.request(t.Context(), t, "k")
					if moment.inBody {
						request.Body = io.NopCloser(&halfBody{halves: []string{"bo", "dy"}, before: change})
					}
					w.wantSends(t, request, shared, homes != "that still allow it", moment.before)
				})
			})
		}
	}
}

// wantSends sends a request and checks how often a target has had it: as often as before the
// change if the new plan forbids it there, or else once more, with success.
func (w *fixture) wantSends(t *testing.T, request *http.Request, shared *target, forbidden bool, before int) {
	t.Helper()
	code, header := 0, http.Header{}
	response, err := w.caller.RoundTrip(request)
	if err == nil {
		defer response.Body.Close()
		header = response.Header
		if _, err = io.Copy(io.Discard, response.Body); err == nil {
			code = response.StatusCode
		}
	}
	switch sends := shared.count(); {
	case forbidden && (sends != before || code == http.StatusOK):
		t.Errorf("status %d; the target has had the request %d times, want %d", code, sends, before)
	case forbidden && before == 0 && (code != http.StatusServiceUnavailable || header.Get("Retry-After") == ""):
		t.Errorf("status %d, headers %v: the caller isn't told to come again", code, header)
	case !forbidden && (sends != before+1 || code != http.StatusOK):
		t.Errorf("status %d after %d requests at the target; the new plan allows it", code, sends)
	}
}

// A request that a VM had refused went to the next VM of its region after a newer plan had
// forbidden that region, with its body.
func TestBodiesAreNotSentToRegionsThatANewerPlanForbids(t *testing.T) {
	for _, region := range []string{"region", "abroad"} {
		t.Run(region, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, v *virtual) {
				var w *fixture
				shared := v.target(t, func(conn net.Conn, request *http.Request) {
					w.change([]string{"elsewhere"}, nil)
					status(503, hopNotRun+": "+stoppingReason+"\r\n", "")(conn, request)
				}, status(200, "", "fine"))
				w = v.fixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, v.unreachable(t, 6)...)
				w.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Targets: 1}})
				w.server.Entries.Store(&[]entry.VM{
					{ID: "vm", Region: "region", Ready: true},
					{ID: "a", Region: region, PeerAddress: shared.address, Ready: true},
					{ID: "b", Region: region, PeerAddress: shared.address, Ready: true},
				})
				if code, _, _ := w.ask(t, "k"); code != http.StatusServiceUnavailable || shared.count() != 1 {
					t.Errorf("status %d; VMs of the region have had the body %d times, want once", code, shared.count())
				}
			})
		})
	}
}
