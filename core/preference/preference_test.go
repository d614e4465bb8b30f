package preference

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// A near peer fails each request for nine seconds, late or at once, while 40 requests per
// second could be served by a far one. Few requests may be lost to it, and it must be asked
// first again soon after it has recovered.
func TestPeerThatFailsIsLeftOutAndTriedAgain(t *testing.T) {
	for name, late := range map[string]bool{"late": true, "at once": false} {
		for need, urgent := range map[string]bool{"urgent": true, "in advance": false} {
			const duration, most = 9 * time.Second, 40
			var p Tracker[string]
			asked := 0
			now := start
			for ; now.Sub(start) < duration; now = now.Add(25 * time.Millisecond) {
				order := p.Order([]string{"near", "far"}, urgent, now)
				if !slices.Contains(order, "far") {
					t.Fatalf("%s, %s: after %v the far peer isn't asked: %v", name, need, now.Sub(start), order)
				}
				if order[0] == "near" {
					asked++
					p.Failed("near", late, now)
				}
				p.Answered("far")
			}
			if asked < 2 || asked > most {
				t.Errorf("%s, %s: the failing peer is asked %d times in %v", name, need, asked, duration)
			}
			recovered := now
			for ; len(p.failed) > 0; now = now.Add(25 * time.Millisecond) {
				if p.Order([]string{"near", "far"}, urgent, now)[0] == "near" {
					p.Answered("near")
				}
			}
			if took := now.Sub(recovered); took > longestLate+urgentProbeAfter {
				t.Errorf("%s, %s: the recovered peer is asked again after %v", name, need, took)
			}
		}
	}
}

// Many requests wait for the end of a backoff. One of them may try the peer, the others
// must not be lost with it; but a peer whose probe was never sent must be tried again.
func TestOneRequestProbes(t *testing.T) {
	var p Tracker[string]
	all := []string{"a", "b", "c"}
	p.Failed("a", true, start)
	p.Failed("b", true, start)
	due := start.Add(shortestLate)
	for i, want := range [][]string{{"a", "c"}, {"b", "c"}, {"c"}} {
		if order := p.Order(all, false, due); !slices.Equal(order, want) {
			t.Errorf("request %d asks %v, want %v", i, order, want)
		}
	}
	if order := p.Order(all, false, due.Add(probeTime)); !slices.Equal(order, []string{"a", "c"}) {
		t.Errorf("after a probe without an outcome, %v are asked", order)
	}
	p.Failed("a", true, due.Add(probeTime))
	if order := p.Order([]string{"a", "c"}, false, due.Add(probeTime+shortestLate)); !slices.Equal(order, []string{"c"}) {
		t.Errorf("the backoff doesn't grow after a failed probe: %v", order)
	}
}

// Without a leader all peers fail at once. None may be asked during its backoff, and all
// must be asked soon after.
func TestAllPeersFail(t *testing.T) {
	var p Tracker[string]
	all := []string{"a", "b"}
	for _, peer := range p.Order(all, true, start) {
		p.Failed(peer, false, start)
	}
	if order := p.Order(all, true, start.Add(shortestRefused-1)); len(order) > 0 {
		t.Errorf("%v are asked during the backoff", order)
	}
	if order := p.Order(all, true, start.Add(shortestRefused)); !slices.Equal(order, all) {
		t.Errorf("%v are asked after the backoff", order)
	}
}
