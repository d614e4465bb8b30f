package draw

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprill/core/quota"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

// poolVM is a control VM with a number of tokens that answers slowly.
type poolVM struct {
	vm.VM
	mu    sync.Mutex
	left  float64
	calls atomic.Int64
}

// Draw grants what is left, or nothing if it is less than what is needed.
func (p *poolVM) Draw(_ context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	p.calls.Add(1)
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left < request.GetNeed() {
		return &vm.DrawResponse{WaitNanoseconds: int64(300 * time.Millisecond)}, nil
	}
	granted := min(p.left, request.GetWant())
	p.left -= granted
	return &vm.DrawResponse{Granted: granted}, nil
}

// startPool serves a control VM and returns a client that shares draws from it.
func startPool(t *testing.T, p *poolVM) *Client {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(vm.VMPathPrefix, vm.NewVMServer(p))
	web := httptest.NewServer(mux)
	t.Cleanup(web.Close)
	limiter := quota.NewLimiter()
	limiter.SetVMs(1)
	c := NewClient(peer.NewUnsigned("e"), limiter, func() []string { return []string{web.Listener.Addr().String()} }, slog.New(slog.DiscardHandler))
	c.Share()
	return c
}

// Guards against a call for each of many requests at once, and against tokens that are handed
// out twice or lost when a draw is shared.
func TestConcurrentDrawsShareCalls(t *testing.T) {
	const requests, cost, pool = 200, 10, 1005
	p := &poolVM{left: pool}
	c := startPool(t, p)
	limit := quota.Limit{RatePerSecond: 50, Burst: 1e6}
	var admitted atomic.Int64
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			order := quota.Order{Need: cost, Want: cost}
			tokens, wait, reached := c.Draw(t.Context(), "o", limit, order)
			if c.Limiter.AddDrawn("o", limit, order, cost, tokens, reached, time.Now()) {
				admitted.Add(1)
			} else if wait <= 0 || !reached {
				t.Errorf("a refused request is told to wait %v, reached %v", wait, reached)
			}
		})
	}
	group.Wait()
	if admitted.Load() != pool/cost {
		t.Errorf("%d requests of %d tokens are admitted from %d tokens", admitted.Load(), cost, pool)
	}
	if calls := p.calls.Load(); calls > requests/20 {
		t.Errorf("%d calls for %d requests", calls, requests)
	}
	before := p.calls.Load()
	if c.Draw(t.Context(), "o", limit, quota.Order{Need: cost, Want: cost}); c.Wait("o", limit, cost, time.Now()) <= 0 {
		t.Error("the pool's answer is not remembered")
	}
	if p.calls.Load() > before+1 || len(c.sharedDraws.byKey) > 0 {
		t.Errorf("%d further calls, %d organisations kept", p.calls.Load()-before, len(c.sharedDraws.byKey))
	}
}

// Guards against the loss of tokens that come after their request has left.
func TestTokensOfALeftRequestAreKept(t *testing.T) {
	p := &poolVM{left: 10}
	c := startPool(t, p)
	limit := quota.Limit{RatePerSecond: 1e-3, Burst: 1e6}
	ctx, leave := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer leave()
	if tokens, _, _ := c.Draw(ctx, "o", limit, quota.Order{Need: 10, Want: 10}); tokens != 0 {
		t.Fatalf("%v tokens for a request that has left", tokens)
	}
	for range 100 {
		if granted, _ := c.Limiter.Take("o", limit, 10, time.Now()); granted {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the tokens are lost")
}
