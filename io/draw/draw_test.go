package draw

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"kingcuprill/core/quota"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

// granting is a control VM that grants what is wanted.
type granting struct{ vm.VM }

// Draw grants all.
func (granting) Draw(_ context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	return &vm.DrawResponse{Granted: request.GetWant()}, nil
}

// frozen accepts connections and answers nothing, as a VM does that is frozen.
func frozen(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// A frozen control VM costs the first request some time; those that follow are
// served by the next one at once.
func TestFrozenControlVMIsPassedOver(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(vm.VMPathPrefix, vm.NewVMServer(granting{}))
	web := httptest.NewServer(mux)
	t.Cleanup(web.Close)
	controls := []string{frozen(t), web.Listener.Addr().String()}
	client := NewClient(peer.NewUnsigned("e"), quota.NewLimiter(), func() []string { return controls }, slog.New(slog.DiscardHandler))
	limit := quota.Limit{RatePerSecond: 1000, Burst: 1000}
	order := quota.Order{Need: 10, Want: 20}
	for i := range 3 {
		tokens, _, reached := client.Draw(context.Background(), "o", limit, order)
		if !reached || tokens != order.Want {
			t.Fatalf("draw %d: %v tokens, reached %v", i, tokens, reached)
		}
	}
	if !client.resting.InBackoff(controls[0], time.Now()) {
		t.Error("the frozen control VM is asked again at once")
	}
}

// Where no control VM answers, a caller waits no longer than the bound.
func TestNobodyAnswers(t *testing.T) {
	controls := []string{frozen(t), frozen(t), frozen(t)}
	client := NewClient(peer.NewUnsigned("e"), quota.NewLimiter(), func() []string { return controls }, slog.New(slog.DiscardHandler))
	tokens, wait, reached := client.Draw(context.Background(), "o", quota.Limit{RatePerSecond: 1, Burst: 1}, quota.Order{Need: 1, Want: 1})
	if reached || tokens != 0 || wait == 0 {
		t.Errorf("%v tokens, wait %v, reached %v", tokens, wait, reached)
	}
}
