package front

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"kingcuprill/core/plan"
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
