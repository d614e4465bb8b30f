package front

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/instance"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/io/peer"
	"kingcuprill/io/streamversion"
	rpc "kingcuprill/rpc/vm"
)

// lead makes the fixture's route lead to services, and registers a target of each.
func (w *fixture) lead(targets map[string]*target, splits ...plan.Split) {
	p := w.server.State.Read().Plan.Plan
	p.Routes = []plan.Route{p.Routes[0]}
	p.Routes[0].Splits, p.Services = splits, nil
	rows := map[string]instance.Registration{}
	for service, s := range targets {
		p.Services = append(p.Services, plan.Service{Name: service})
		rows[service] = instance.Registration{ID: service, Service: service, Address: s.address, Version: "v1", Born: 1, State: instance.Ready, Slots: 8, Heard: time.Now()}
	}
	w.server.State.Update(func(*State) *State { return &State{Plan: plan.NewIndex(p)} })
	w.server.Placer.SetTargets(rows, func(string) string { return "region" })
}

// A VM forwards a stream to one with another plan. The stream must not be recorded as one of
// a service that has not begun it.
func TestForwardedStreamsAreRecordedWithTheirService(t *testing.T) {
	for name, test := range map[string]struct {
		splits []plan.Split // of the VM that answers
		at     string       // service that begins the stream
		known  bool
	}{
		"moved to another service": {[]plan.Split{{Service: "other", Weight: 1}}, "other", false},
		"other weights":            {[]plan.Split{{Service: "other", Weight: 1}, {Service: "s", Weight: 0}}, "s", true},
	} {
		t.Run(name, func(t *testing.T) {
			targets := map[string]*target{"s": startTarget(t, breakingStream), "other": startTarget(t, breakingStream)}
			there, here := newFixture(t, resumable), newFixture(t, resumable)
			there.lead(targets, test.splits...)
			vms := []entry.VM{there.abroad(t, "abroad")}
			here.server.Entries.Store(&vms)
			here.server.Placer.SetRemote([]place.Remote{{Service: "s", DataCentre: "abroad", Region: "abroad", Version: "v1", Targets: 1}})
			none := func() []string { return nil }
			here.server.Streams = streamversion.NewClient(peer.NewUnsigned("vm"), none, none, func() int64 { return 1 }, func() bool { return true }, slog.New(slog.DiscardHandler))
			here.ask(t, "k")
			for service, s := range targets {
				if begun := s.count() > 0; begun != (service == test.at) {
					t.Errorf("service %s got the stream: %v", service, begun)
				}
			}
			v, known := here.server.Streams.Find(t.Context(), "7", "s")
			if known != test.known || known && v.Service != test.at {
				t.Errorf("recorded as begun by %v: %v; service %s began it", v, known, test.at)
			}
		})
	}
}

// A VM of the release before names no service with a request that it forwards.
func TestForwardedRequestsWithoutAServiceAreServed(t *testing.T) {
	s := startTarget(t, status(http.StatusOK, "", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, s)
	there := w.abroad(t, "abroad")
	request := w.request(t.Context(), t, "k", hopFrom, "old")
	request.URL.Host = there.PeerAddress
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK || s.count() != 1 {
		t.Errorf("status %d, sent %d times", response.StatusCode, s.count())
	}
}

// soleControl is a control VM that knows no stream and has heard of one version only.
type soleControl struct {
	rpc.VM

	asked []string // services
}

func (c *soleControl) FindStream(_ context.Context, request *rpc.FindStreamRequest) (*rpc.FindStreamResponse, error) {
	c.asked = append(c.asked, request.GetService())
	return &rpc.FindStreamResponse{Versions: []string{"v1"}, HeardNanoseconds: int64(time.Hour)}, nil
}

func (c *soleControl) RecordStreams(context.Context, *rpc.RecordStreamsRequest) (*rpc.RecordStreamsResponse, error) {
	return &rpc.RecordStreamsResponse{}, nil
}

// A caller takes a stream without a record up on a route that leads to two services. The
// repetition may be due to another service than the request that began the stream.
func TestUnknownStreamsStayAtTheirService(t *testing.T) {
	targets := map[string]*target{"s": startTarget(t, breakingStream), "other": startTarget(t, breakingStream)}
	w := newFixture(t, resumable)
	w.lead(targets, plan.Split{Service: "s", Weight: 1}, plan.Split{Service: "other", Weight: 1})
	route := w.server.State.Read().Plan.Plan.Routes[0]
	w.server.Headers.Resumes = "Resumes"
	control := &soleControl{}
	web := httptest.NewServer(rpc.NewVMServer(control))
	t.Cleanup(web.Close)
	all := func() []string { return []string{web.Listener.Addr().String()} }
	w.server.Streams = streamversion.NewClient(peer.NewUnsigned("vm"), all, all, func() int64 { return 1 }, func() bool { return true }, slog.New(slog.DiscardHandler))
	for i := range 8 {
		begun := fmt.Sprint("begun", i)
		control.asked = nil
		w.ask(t, "k", "Last-Event-Id", "2", "Resumes", begun)
		if want := route.Choose(begun); !slices.Equal(control.asked, []string{want}) {
			t.Errorf("stream %s of service %s: version of %v asked for", begun, want, control.asked)
		}
	}
}
