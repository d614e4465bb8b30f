package forward

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/core/withdrawal"
	"kingcuprill/rpc/vm"
)

// countingRunner counts the requests that run.
type countingRunner struct {
	ran      int
	begun    time.Time
	deadline time.Duration // of the last call, since begun
}

func (r *countingRunner) Generate(context.Context, exchange.Request, bool, func(exchange.Token) error) (exchange.Usage, error) {
	r.ran++
	return exchange.Usage{}, nil
}

func (r *countingRunner) Call(_ context.Context, request exchange.Request) (exchange.Answer, error) {
	r.ran++
	r.deadline = request.Deadline.Sub(r.begun)
	return exchange.Answer{Status: http.StatusOK}, nil
}

func newServer() (*Server, *countingRunner) {
	s := vmstate.New(membership.Member{ID: "vm-2", Region: "siliguri", DataCentre: "d"}, time.Second)
	c := catalogue.New()
	c.Organisations["puja"] = catalogue.Organisation{Name: "puja"}
	c.Organisations["other"] = catalogue.Organisation{Name: "other"}
	c.Keys["web"] = catalogue.Key{ID: "web", Organisation: "puja"}
	c.Keys["old"] = catalogue.Key{ID: "old", Organisation: "puja"}
	c.Routes["plans"] = catalogue.Route{Name: "plans", Organisations: []string{"puja"}}
	c.Routes["west"] = catalogue.Route{Name: "west"}
	c.Residencies["west"] = catalogue.Residency{Name: "west", Route: "west", Regions: []string{"kolkata"}}
	c.Revision = 1
	c.Index()
	s.Catalogue.Update(func(*catalogue.Catalogue) *catalogue.Catalogue { return c })
	s.Withdrawn.Update(func(*withdrawal.Set) *withdrawal.Set { return withdrawal.New("old") })
	runner := &countingRunner{}
	enter := func(ctx context.Context, _ string) (context.Context, func()) { return ctx, func() {} }
	return &Server{VMState: s, Runner: runner, Enter: enter}, runner
}

// call forwards a call to a server and returns the frame that answers it.
func call(t *testing.T, server *Server, message *vm.ForwardRequest) *vm.ForwardFrame {
	t.Helper()
	body, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	server.ServeCall(recorder, httptest.NewRequest(http.MethodPost, CallPath, bytes.NewReader(body)))
	frame := &vm.ForwardFrame{}
	if err := readFrame(bufio.NewReader(recorder.Body), frame); err != nil {
		t.Fatal(err)
	}
	return frame
}

// TestAdmit expects a VM to repeat the checks of the entry VM on a forwarded
// request: path, access, key and residency.
func TestAdmit(t *testing.T) {
	for _, test := range []struct {
		name, path, organisation, key, route string
		want                                 fault.Code // empty: it runs
	}{
		{"allowed", "vm-1", "puja", "web", "plans", ""},
		{"repeated VM", "vm-2", "puja", "web", "plans", fault.Loop},
		{"second crossing", "vm-1,vm-3", "puja", "web", "plans", fault.Loop},
		{"withdrawn key", "vm-1", "puja", "old", "plans", fault.Unauthenticated},
		{"unknown key", "vm-1", "puja", "none", "plans", fault.Unauthenticated},
		{"another organisation's key", "vm-1", "other", "web", "plans", fault.Forbidden},
		{"residency", "vm-1", "puja", "web", "west", fault.Residency},
		{"unknown route", "vm-1", "puja", "web", "nowhere", fault.NotFound},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, runner := newServer()
			frame := call(t, server, &vm.ForwardRequest{
				RequestId: "r", Path: test.path, Organisation: test.organisation, KeyId: test.key, Route: test.route,
				TimeLeftNanoseconds: int64(time.Minute), Method: http.MethodGet, Url: "/",
			})
			if fault.Code(frame.GetErrorCode()) != test.want {
				t.Fatalf("code %q (%s), want %q", frame.GetErrorCode(), frame.GetErrorText(), test.want)
			}
			if refused := test.want != ""; refused != (runner.ran == 0) || refused != frame.GetNotRun() {
				t.Fatalf("ran %d times, not_run %t", runner.ran, frame.GetNotRun())
			}
		})
	}
}

// A VM that was cut off from the control VMs ran forwarded requests by its older catalogue,
// which a newer one may forbid. Waiting for the newer one must not outlast the request.
func TestForwardedRequestsAreRunByNoOlderCatalogue(t *testing.T) {
	for name, test := range map[string]struct {
		revision uint64
		arrives  time.Duration // of the newer catalogue, 0 for never
		timeLeft time.Duration
		want     fault.Code
	}{
		"same":           {revision: 1, timeLeft: time.Minute},
		"sender behind":  {revision: 0, timeLeft: time.Minute},
		"cut off":        {revision: 2, timeLeft: time.Minute, want: fault.NoTarget},
		"a moment later": {revision: 2, timeLeft: time.Minute, arrives: 100 * time.Millisecond},
		"too late":       {revision: 2, timeLeft: 50 * time.Millisecond, arrives: 100 * time.Millisecond, want: fault.Deadline},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, runner := newServer()
				runner.begun = time.Now()
				if test.arrives > 0 {
					time.AfterFunc(test.arrives, func() {
						server.VMState.Catalogue.Update(func(c *catalogue.Catalogue) *catalogue.Catalogue {
							newer := *c
							newer.Revision = 2
							return &newer
						})
					})
				}
				frame := call(t, server, &vm.ForwardRequest{
					RequestId: "r", Path: "vm-1", Organisation: "puja", KeyId: "web", Route: "plans",
					TimeLeftNanoseconds: int64(test.timeLeft), Method: http.MethodGet, Url: "/", CatalogueRevision: test.revision,
				})
				refused := test.want != ""
				if runner.deadline > test.timeLeft {
					t.Errorf("it may run for %v, want at most %v", runner.deadline, test.timeLeft)
				}
				if fault.Code(frame.GetErrorCode()) != test.want || frame.GetNotRun() != refused || refused != (runner.ran == 0) {
					t.Errorf("code %q, not run %v, ran %d times", frame.GetErrorCode(), frame.GetNotRun(), runner.ran)
				}
			})
		})
	}
}

func FuzzReadFrame(f *testing.F) {
	recorder := httptest.NewRecorder()
	_ = newFrameWriter(recorder, "r").write(&vm.ForwardFrame{Index: 1, Text: "a"})
	f.Add(recorder.Body.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = readFrame(bufio.NewReader(bytes.NewReader(data)), &vm.ForwardFrame{}) // must not panic
	})
}
