package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Two of ten targets fail nearly half of their requests at once, although they are
// healthy otherwise. Few requests may go there while others serve in time, and both
// must be used again some seconds after they have recovered.
func TestFailingTargetsAreAvoided(t *testing.T) {
	const perSecond, failFor, failShare = 200, 6, 0.45
	p := placers(1, 10, nil)[0]
	random := rand.New(rand.NewPCG(1, 2))
	grey := map[string]bool{"t1": true, "t2": true}
	var failed, after int
	for i := range 2 * failFor * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		failing := i < failFor*perSecond
		assignment, _, reason := p.Pick(Request{
			Service: "llm", Sticky: true, Now: now, Deadline: now.Add(time.Minute), Memory: 1_000_000, Objective: testObjective,
			PreferredBound: testObjective * 45 / 100, Bound: testObjective,
			Demand: Demand{Prompt: 500, Output: 10, Parts: []Part{{fmt.Sprint("p", random.IntN(500)), 400}, {fmt.Sprint("own", i), 100}}},
		})
		if assignment == nil {
			t.Fatal(reason)
		}
		answered := now.Add(50 * time.Millisecond)
		switch id, _ := assignment.Where(); {
		case failing && grey[id] && random.Float64() < failShare:
			assignment.Done(Error, answered)
			failed++
			continue
		case grey[id] && i > (2*failFor-2)*perSecond:
			after++
		}
		assignment.Answered(answered)
		assignment.Done(Success, answered)
	}
	evenly := int(failFor * perSecond * failShare * float64(len(grey)) / 10)
	t.Logf("%d requests failed, %d would have with even load; %d sent to the recovered targets", failed, evenly, after)
	if failed*3 > evenly {
		t.Errorf("%d requests failed, more than a third of %d", failed, evenly)
	}
	if after < 2*perSecond/10 {
		t.Errorf("%d of %d requests went to the recovered targets", after, 2*perSecond)
	}
}
