package draw

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/quota"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

// grantingVM is a control VM that grants all that is wanted.
type grantingVM struct{ vm.VM }

// Draw grants the wanted tokens.
func (grantingVM) Draw(_ context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	return &vm.DrawResponse{Granted: request.GetWant()}, nil
}

// startFrozen returns the address of a listener that accepts connections and never
// answers, like a frozen VM.
func startFrozen(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// A frozen control VM may delay the first draw only; later ones must skip it and go
// to the next control VM.
func TestFrozenControlVMIsPassedOver(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(vm.VMPathPrefix, vm.NewVMServer(grantingVM{}))
	web := httptest.NewServer(mux)
	t.Cleanup(web.Close)
	controls := []string{startFrozen(t), web.Listener.Addr().String()}
	client := NewClient(peer.NewUnsigned("e"), quota.NewLimiter(), func() []string { return controls }, slog.New(slog.DiscardHandler))
	limit := quota.Limit{RatePerSecond: 1000, Burst: 1000}
	order := quota.Order{Need: 10, Want: 20}
	for i := range 3 {
		tokens, _, reached := client.Draw(context.Background(), "o", limit, order)
		if !reached || tokens != order.Want {
			t.Fatalf("draw %d: %v tokens, reached %v", i, tokens, reached)
		}
	}
	if slices.Contains(client.preference.Order(controls, true, time.Now()), controls[0]) {
		t.Error("the frozen control VM is asked again at once")
	}
}

// If no control VM answers, a draw must end without tokens and with a wait for the
// caller.
func TestNobodyAnswers(t *testing.T) {
	controls := []string{startFrozen(t), startFrozen(t), startFrozen(t)}
	client := NewClient(peer.NewUnsigned("e"), quota.NewLimiter(), func() []string { return controls }, slog.New(slog.DiscardHandler))
	tokens, wait, reached := client.Draw(context.Background(), "o", quota.Limit{RatePerSecond: 1, Burst: 1}, quota.Order{Need: 1, Want: 1})
	if reached || tokens != 0 || wait == 0 {
		t.Errorf("%v tokens, wait %v, reached %v", tokens, wait, reached)
	}
}

// Many entry VMs send their first draws of many organisations at once, and the leader
// is in another region. Few calls may be made, and every draw must be answered in
// little more than one round trip.
func TestDrawsOfManyEntryVMs(t *testing.T) {
	const draws, roundTrip = 2000, 110 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		b := &batcher{send: func(_ context.Context, batch []*vm.DrawRequest) (answers []*vm.DrawResponse, err error) {
			calls.Add(1)
			time.Sleep(roundTrip)
			for _, d := range batch {
				answers = append(answers, &vm.DrawResponse{Granted: d.GetNeed()})
			}
			return answers, nil
		}}
		begun := time.Now()
		var group sync.WaitGroup
		for i := range draws {
			time.Sleep(100 * time.Microsecond)
			group.Go(func() {
				sent := time.Now()
				o := <-b.draw(&vm.DrawRequest{Need: float64(i)})
				if o.err != nil || o.response.GetGranted() != float64(i) {
					t.Errorf("draw %d: %v, %v", i, o.response, o.err)
				}
				if took := time.Since(sent); took > attemptTimeout {
					t.Errorf("draw %d took %v", i, took)
				}
			})
		}
		group.Wait()
		if most := int64(maxBatches * (time.Since(begun)/roundTrip + 1)); calls.Load() > most {
			t.Errorf("%d calls for %d draws, want %d at most", calls.Load(), draws, most)
		}
	})
}

// A call that fails must end each of its draws with the error.
func TestFailedBatch(t *testing.T) {
	failure := errors.New("reset")
	b := &batcher{send: func(context.Context, []*vm.DrawRequest) ([]*vm.DrawResponse, error) { return nil, failure }}
	first, second := b.draw(&vm.DrawRequest{}), b.draw(&vm.DrawRequest{})
	for _, drawn := range []<-chan outcome{first, second} {
		if o := <-drawn; !errors.Is(o.err, failure) {
			t.Errorf("error %v, want that of the call", o.err)
		}
	}
}
