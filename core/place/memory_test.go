package place

import (
	"fmt"
	"testing"
)

// Long requests share one part, which fills a third of a target's memory. As many may
// run there as their own tokens leave room for.
func TestSharedPartIsInMemoryOnce(t *testing.T) {
	const memory, shared, own = 300_000, 100_000, 20_000
	p := placers(1, 1, nil)[0]
	request := func(i int, part string) Request {
		return Request{
			Service: "llm", Sticky: true, Now: start, Coordinated: true, Memory: memory,
			Demand: Demand{Prompt: shared + own, Parts: []Part{{part, shared}, {fmt.Sprint(i), own}}},
		}
	}
	var running []*Assignment
	for i := 0; ; i++ {
		assignment, _, _ := p.Pick(request(i, "part"))
		if assignment == nil {
			break
		}
		running = append(running, assignment)
	}
	if want := (int(memoryShare*memory) - shared) / own; len(running) != want {
		t.Errorf("%d requests run at once, want %d", len(running), want)
	}
	for _, a := range running {
		a.Done(Success, start)
	}
	if got := running[0].Target.memory; got.tokens != 0 || len(got.parts) != 0 {
		t.Errorf("after all have ended %d tokens and %d parts are counted", got.tokens, len(got.parts))
	}
}
