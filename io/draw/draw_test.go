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
	if !client.backoff.InBackoff(controls[0], time.Now()) {
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
