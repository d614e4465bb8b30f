package place

import (
	"testing"
	"time"

	"kingcuprill/core/instance"
)

// A request that may crash its target goes to the one with the fewest requests, though
// another one has read its prompt.
func TestSuspectRequestsRunApart(t *testing.T) {
	p := NewPlacer("vm", "r")
	now := time.Now()
	rows := map[string]instance.Registration{}
	for _, id := range []string{"a", "b", "c"} {
		rows[id] = instance.Registration{ID: id, Service: "s", Address: id, State: instance.Ready, Slots: 8, Born: 1, Heard: now}
	}
	p.SetTargets(rows, func(string) string { return "r" })
	r := Request{
		Service: "s", Sticky: true, Memory: 100000, Coordinated: true, PreferredBound: time.Second, Now: now, Deadline: now.Add(time.Second),
		Demand: Demand{Prompt: 200, Parts: []Part{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 100}}},
	}
	preferred, _, _ := p.Pick(r)
	if again, _, _ := p.Pick(r); again.Target != preferred.Target {
		t.Fatal("the prompt has no preferred target")
	}
	r.Apart = true
	first, _, _ := p.Pick(r)
	second, _, _ := p.Pick(r)
	if first.Target == preferred.Target || second.Target == preferred.Target || first.Target == second.Target {
		t.Errorf("with requests at %s, the suspects went to %s and %s", preferred.id, first.id, second.id)
	}
}
