package front

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"kingcuprill/core/linkbudget"
	"kingcuprill/core/place"
	"kingcuprill/core/plan"
	"kingcuprill/core/quota"
)

// unreadBody is a body that must not be read.
type unreadBody struct{ read bool }

// Read records that the body was read.
func (b *unreadBody) Read([]byte) (int, error) {
	b.read = true
	return 0, errors.New("the body is read")
}

// Guards against refusals that cost the full link more: the body must stay unread, and no
// target, VM or control VM may be asked.
func TestFullLinkRefusesBeforeTheBody(t *testing.T) {
	for name, from := range map[string]string{"caller": "", "forwarded": "there"} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, status(200, "", "fine"))
			w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, s)
			w.server.Link = linkbudget.New(1)
			w.server.Drawer.Controls = func() []string { t.Error("a control VM is asked"); return nil }
			body := &unreadBody{}
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/a/x", body)
			request.ContentLength = 1000
			for name, value := range map[string]string{"Id": "7", "Left": "900", "Authorization": "Bearer p", hopFrom: from} {
				request.Header.Set(name, value)
			}
			answer := httptest.NewRecorder()
			w.server.serve(answer, request, from)
			after, _ := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
			if answer.Code != 503 || after <= 0 || after > 0.3 || body.read || s.count() > 0 {
				t.Errorf("status %d, Retry-After %v, body read %v, %d requests at the target", answer.Code, after, body.read, s.count())
			}
			if from != "" && answer.Header().Get(hopNotRun) != linkReason {
				t.Errorf("refused as %q", answer.Header().Get(hopNotRun))
			}
		})
	}
}

// Guards against a budget that loses headroom with each request, whether it is served, refused by
// its target or broken off.
func TestRequestsAreSettledWithTheLink(t *testing.T) {
	for name, targets := range map[string][]*target{
		"whole":     {startTarget(t, status(200, "", "fine"))},
		"refused":   {startTarget(t, status(503, "Not-Run: 1\r\n", ""))},
		"cut off":   {startTarget(t, reset)},
		"no target": nil,
	} {
		t.Run(name, func(t *testing.T) {
			const rate = 40_000 // bytes per second: the allowance is for some 3 requests at once
			budget := linkbudget.New(rate)
			w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, targets...)
			w.server.Link = budget
			now, carried := time.Now(), [linkbudget.Directions]int64{}
			for i := range 40 {
				if w.ask(t, "k"); budget.Shed.Load() > 0 {
					t.Fatalf("request %d is refused", i)
				}
				now = now.Add(time.Second / 10)
				budget.Update(carried, now)
			}
		})
	}
}

// Guards against requests of other VMs that take the headroom of this VM's own callers. A busy
// sender goes on forwarding: that takes no more of its link than a target of its own.
func TestBusyLinkTakesNoRequestsOfOthers(t *testing.T) {
	s := startTarget(t, status(200, "", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, s)
	w.server.Link = linkbudget.New(1e6)
	now := time.Now()
	for i := range 50 {
		w.server.Link.Update([linkbudget.Directions]int64{0, int64(i) * 80_000}, now.Add(time.Duration(i)*linkbudget.Window))
	}
	for from, want := range map[string]int{"": http.StatusOK, "there": http.StatusServiceUnavailable} {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/a/x", nil)
		for name, value := range map[string]string{"Id": "7", "Left": "900", "Authorization": "Bearer k", hopFrom: from} {
			request.Header.Set(name, value)
		}
		answer := httptest.NewRecorder()
		w.server.serve(answer, request, from)
		if answer.Code != want {
			t.Errorf("from %q: status %d, want %d", from, answer.Code, want)
		}
	}
	if w.server.Link.NotTaken.Load() != 1 {
		t.Errorf("%d requests count as not taken", w.server.Link.NotTaken.Load())
	}
}

// Guards against requests that are shed again when they return, in favour of new ones.
func TestShedRequestsReturnWithALowSample(t *testing.T) {
	now := time.Now()
	for i := range 1000 {
		x := &exchange{demand: place.Demand{Parts: []place.Part{{ID: "shared"}, {ID: strconv.Itoa(i)}}}}
		sample := x.linkSample(now)
		back := x.linkSample(now.Add(time.Duration(sample * returnShare * float64(samplePeriod))))
		if sample < 0 || sample > 1 || back > 0.11 || back > sample {
			t.Fatalf("request %d: %.2f, and %.2f when it returns", i, sample, back)
		}
	}
}

// Guards against a request over its limit whose refusal costs a call and the reading of its
// body although the pool's answer is known.
func TestKnownLimitRefusesBeforeTheBody(t *testing.T) {
	w := newFixture(t, plan.Route{Kind: plan.Idempotent, Attempts: 1}, startTarget(t, status(200, "", "fine")))
	w.server.Drawer.Controls = func() []string { t.Error("a control VM is asked"); return nil }
	w.server.Drawer.Share()
	w.server.Quota.NoteShortage("poor", quota.Limit{RatePerSecond: 1, Burst: 1}, 100, 2*time.Second, time.Now())
	body := &unreadBody{}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/a/x", body)
	request.Header.Set("Authorization", "Bearer p")
	answer := httptest.NewRecorder()
	w.server.ServeHTTP(answer, request)
	after, _ := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
	if answer.Code != http.StatusTooManyRequests || after < 1 || after > 3 || body.read || w.server.Drawer.Avoided() != 1 {
		t.Errorf("status %d, Retry-After %v, body read %v", answer.Code, after, body.read)
	}
}
