package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kingcuprill/core/drain"
	"kingcuprill/core/entry"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/io/rig/eventually"
)

// slowLog takes long for the line of a try that has failed.
type slowLog struct {
	slog.Handler
	failed func()
}

func (l slowLog) Enabled(context.Context, slog.Level) bool { return true }

func (l slowLog) Handle(_ context.Context, r slog.Record) error {
	if strings.HasPrefix(r.Message, "try has failed") {
		l.failed()
	}
	return nil
}

// The caller of a stream left while another target was tried beside the silent one. The
// handler ended before that try, which could then write to the connection of another caller.
func TestHedgedTriesEndBeforeTheHandler(t *testing.T) {
	t.Parallel()
	shared := startTarget(t, beginAndBeSilent, silent)
	w := newFixture(t, plan.Route{Kind: plan.Stream, Resumable: true, Attempts: 2, MaxGap: 100 * time.Millisecond}, shared, shared)
	running := make(chan int64, 1)
	w.server.Log = slog.New(slowLog{slog.DiscardHandler, func() {
		time.Sleep(200 * time.Millisecond)
		running <- w.server.Running()
	}})
	ctx, leave := context.WithTimeout(t.Context(), 800*time.Millisecond)
	defer leave()
	response, err := http.DefaultTransport.RoundTrip(w.request(ctx, t, "k"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	select {
	case count := <-running:
		if count != 1 {
			t.Error("the handler has ended before the hedged try")
		}
	case <-time.After(5 * time.Second):
		t.Error("no hedged try has ended")
	}
}

// An engine is silent and goes on, while no connection to another one comes about. The
// silent one was ended for a request that was never sent.
func TestUnsentRequestsTakeNoStreamOver(t *testing.T) {
	t.Parallel()
	const pause = 1200 * time.Millisecond
	first := startTarget(t, pausing(plan.Stream, pause, false))
	w := newFixture(t, plan.Route{Kind: plan.Stream, Resumable: true, Attempts: 2, MaxGap: 100 * time.Millisecond}, first, full(t))
	w.server.Placer.Pause("t1", pause/4, time.Now())
	w.runEngines()
	if code, body, _ := w.ask(t, "k"); code != http.StatusOK {
		t.Errorf("status %d, body %q", code, body)
	}
	if ended := w.server.Metrics.Registry.Get("hedges.won"); ended != nil {
		t.Error("the silent engine was ended")
	}
}

// full returns a target to which connections don't come about.
func full(t *testing.T) *target {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	err = errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0))
	bound, nameErr := unix.Getsockname(fd)
	if err = errors.Join(err, nameErr); err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
	for range 4 { // the queue of the listener takes one or two
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return &target{address: address}
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("connections come about")
	return nil
}

// A silent target refuses a request without running it, while no other one was found. The
// refusal counted as a run, so that the caller wasn't told that the request has not run.
func TestLateRefusalsAreNoRuns(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 2}, startTarget(t, func(conn net.Conn, request *http.Request) {
		time.Sleep(1800 * time.Millisecond)
		status(503, "Not-Run: 1\r\n", "")(conn, request)
	}))
	if code, body, _ := w.ask(t, "k"); code != http.StatusServiceUnavailable {
		t.Errorf("status %d, body %q", code, body)
	}
}

// Two VMs look for further targets for one request whose targets are all silent, the one
// that forwards it and the one that it was forwarded to. It must not run more often than its
// route allows, and its answer is whole.
func TestHopsThatHedgeKeepTheAttempts(t *testing.T) {
	for _, kind := range []plan.Kind{plan.Stream, plan.Idempotent, plan.NonIdempotent} {
		for _, beforeHead := range []bool{true, false} {
			for _, attempts := range []int{1, 2, 3, 4} {
				t.Run(fmt.Sprintf("%v before head %v %d attempts", kind, beforeHead, attempts), func(t *testing.T) {
					t.Parallel()
					inVirtualTime(t, func(t *testing.T, v *virtual) { v.keepAttempts(t, kind, beforeHead, attempts) })
				})
			}
		}
	}
}

func (v *virtual) keepAttempts(t *testing.T, kind plan.Kind, beforeHead bool, attempts int) {
	t.Helper()
	route := plan.Route{Kind: kind, Resumable: kind == plan.Stream, Attempts: attempts, MaxGap: 300 * time.Millisecond, Timeout: 8 * time.Second}
	s := v.target(t, pausing(kind, 3*time.Second, beforeHead))
	first, second, here := v.fixture(t, route, s, s, s), v.fixture(t, route, s, s, s), v.fixture(t, route)
	here.server.Placer.SetRemote([]place.Remote{
		{Service: "s", DataCentre: "first", Region: "first", Targets: 3},
		{Service: "s", DataCentre: "second", Region: "second", Targets: 3},
	})
	here.server.Entries.Store(&[]entry.VM{v.abroad(t, first, "first"), v.abroad(t, second, "second")})
	want := "fine"
	if kind == plan.Stream {
		want = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
	}
	if code, body, _ := here.ask(t, "k"); code != http.StatusOK || body != want {
		t.Errorf("status %d, body %q", code, body)
	}
	most := attempts
	if kind == plan.NonIdempotent {
		most = 1
	}
	if s.count() > most || s.count() < min(most, 2) {
		t.Errorf("%d runs, want %d to %d", s.count(), min(most, 2), most)
	}
}

// A target is silent and then lost. Meanwhile the configuration was not confirmed for a
// while, in which all tries of the request were used up without a request being sent.
func TestUnconfirmedConfigurationUsesNoTries(t *testing.T) {
	t.Parallel()
	good := startTarget(t, status(200, "", "fine"))
	lost := startTarget(t, func(conn net.Conn, _ *http.Request) {
		time.Sleep(2500 * time.Millisecond) // the timeout of a try is 1.5 s
		conn.Close()
	})
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 3}, lost, good, good, good, good, good)
	for i := range 5 {
		w.server.Placer.Pause(fmt.Sprint("t", i+1), 300*time.Millisecond, time.Now())
	}
	valid := w.leased.Load()
	time.AfterFunc(time.Second, func() { w.leased.Store(-int64(time.Minute)) })
	time.AfterFunc(1800*time.Millisecond, func() { w.leased.Store(valid) })
	if code, body, _ := w.ask(t, "k"); code != http.StatusOK {
		t.Errorf("status %d, body %q after %d requests to other targets", code, body, good.count())
	}
}

// A planned stop ends a request that two targets have, both silent. It ended late, as the VM
// first found out whether the targets were to blame.
func TestStopsEndHedgedRequestsOnce(t *testing.T) {
	for _, kind := range []plan.Kind{plan.Stream, plan.Idempotent} {
		for _, beforeHead := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v before head %v", kind, beforeHead), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, func(t *testing.T, v *virtual) { v.stopHedged(t, kind, beforeHead) })
			})
		}
	}
}

func (v *virtual) stopHedged(t *testing.T, kind plan.Kind, beforeHead bool) {
	t.Helper()
	const begin, grace = 1800 * time.Millisecond, 4 * time.Second
	s := v.target(t, pausing(kind, 4*(begin+grace), beforeHead))
	w := v.fixture(t, plan.Route{Kind: kind, Resumable: kind == plan.Stream, Attempts: 2, Timeout: 10 * time.Second}, s, s)
	logged, begun := &lockedBuffer{}, time.Now()
	w.server.Log = slog.New(slog.NewTextHandler(logged, nil))
	var dials, before atomic.Int64
	onDial := w.server.Targets.OnDial
	w.server.Targets.OnDial = func(peer string, err error) {
		dials.Add(1)
		onDial(peer, err)
	}
	time.AfterFunc(begin, func() { w.server.Stop(drain.Stop{Begun: time.Now(), Grace: grace}) })
	time.AfterFunc(begin+grace/2, func() { before.Store(dials.Load()) })
	code, body, _ := w.ask(t, "k")
	if took := time.Since(begun); code == http.StatusOK || took > begin+grace || s.count() != 2 {
		t.Errorf("status %d, body %q after %v and %d runs", code, body, took, s.count())
	}
	eventually.Until(t, "the request has ended", func() bool { return w.server.Running() == 0 })
	if dials.Load() != before.Load() {
		t.Errorf("%d connections are made before the answer, to find out about the targets", dials.Load()-before.Load())
	}
	if kinds := strings.Join(logged.kinds(), " "); kinds != string(endedStop) {
		t.Errorf("logged kinds %q", kinds)
	}
}
