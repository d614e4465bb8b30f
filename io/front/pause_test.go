package front

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"kingcuprill/core/plan"
)

// A target refuses a request and says when it takes others. It gets none before, and
// some afterwards. If no other target is left, callers are told that time.
func TestRefusingTargetIsLeftAlone(t *testing.T) {
	const pause = 600 * time.Millisecond
	busy := startTarget(t, status(503, "Not-Run: 1\r\nRetry-After: 0.6\r\n", ""), status(200, "", "fine"))
	other := startTarget(t, status(200, "", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, busy, other)
	for busy.count() == 0 {
		w.ask(t, "k")
	}
	for begun := time.Now(); time.Since(begun) < pause-200*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		if code, _, _ := w.ask(t, "k"); code != http.StatusOK || busy.count() != 1 {
			t.Fatalf("status %d, %d requests at the target that wants none", code, busy.count())
		}
	}
	time.Sleep(pause)
	for range 100 {
		w.ask(t, "k")
	}
	if busy.count() < 2 {
		t.Error("the target gets no requests afterwards")
	}
	alone := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, startTarget(t, status(503, "Not-Run: 1\r\nRetry-After: 1.2\r\n", "")))
	code, _, response := alone.ask(t, "k")
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if code != http.StatusServiceUnavailable || err != nil || after < 1.1 {
		t.Errorf("status %d, Retry-After %v", code, after)
	}
}

// Times that can't be read, or make no sense, keep no target out of use.
func TestRetryAfterOfTargetsIsChecked(t *testing.T) {
	for _, value := range []string{"soon", "-3", "NaN", "0", ""} {
		s := startTarget(t, status(503, "Not-Run: 1\r\nRetry-After: "+value+"\r\n", ""), status(200, "", "fine"))
		w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, s)
		w.ask(t, "k")
		if code, _, _ := w.ask(t, "k"); code != http.StatusOK {
			t.Errorf("%q: status %d afterwards", value, code)
		}
	}
}
