package place

import (
	"testing"
	"time"
)

// A request waited at a busy target though another region was predicted to answer earlier. It
// is refused for that only while it would otherwise get a place, and doesn't count as refused.
func TestRequestsLeaveABusyRegion(t *testing.T) {
	p := placersOf("here", 1)
	ask := func(leaveAfter, bound time.Duration) (bool, time.Duration, Reason) {
		r := Request{Service: "llm", Now: start, Deadline: start.Add(time.Minute), Bound: bound, LeaveAfter: leaveAfter, Demand: Demand{Prompt: 20_000}}
		a, predicted, reason := p.Pick(r)
		if a != nil {
			a.Done(Inconclusive, start)
		}
		return a != nil, predicted, reason
	}
	p.Pick(Request{Service: "llm", Now: start, Deadline: start.Add(time.Minute), Demand: Demand{Prompt: 50_000}})
	local := defaultBase + 70_000*defaultTokenTime
	for name, test := range map[string]struct {
		leaveAfter, bound time.Duration
		reason            Reason
	}{
		"never":            {bound: time.Second},
		"later than here":  {leaveAfter: local, bound: time.Second},
		"earlier":          {leaveAfter: local - 1, bound: time.Second, reason: Busier},
		"without a bound":  {leaveAfter: local - 1, reason: Busier},
		"late here anyway": {leaveAfter: local - 1, bound: local - 1, reason: Slow},
	} {
		placed, predicted, reason := ask(test.leaveAfter, test.bound)
		if placed != (test.reason == "") || predicted != local || reason != test.reason {
			t.Errorf("%s: placed %v, predicted %v, %q; want %v, %q", name, placed, predicted, reason, local, test.reason)
		}
	}
	for range 100 {
		ask(1, time.Second)
	}
	if placed, _, reason := ask(0, time.Second); !placed {
		t.Errorf("a request that comes back is refused: %s", reason)
	}
}

// What a request costs in another region grows with the VMs that send there, and falls with
// its targets.
func TestRemoteCost(t *testing.T) {
	p := placersOf("here", 1)
	p.SetVMs([]string{"a", "b", "c", "d"}, nil)
	p.SetRemote([]Remote{{Service: "llm", DataCentre: "x", Region: "there", Targets: 8}})
	r := Request{Service: "llm", Now: start, Demand: Demand{Prompt: 3000, Parts: []Part{{"p", 1000}, {"own", 2000}}}}
	want := RemoteCost{Own: 2000 * defaultTokenTime, Shared: 1000 * defaultTokenTime, Load: 1000 * defaultTokenTime}
	if got := p.RemoteCost(r, "there"); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := p.RemoteCost(Request{Service: "plain", Now: start}, "unknown"); got.Own != defaultWork*defaultTokenTime || got.Shared != 0 {
		t.Errorf("a request without a prompt: %+v", got)
	}
}
