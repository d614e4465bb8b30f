package catalogue

import "testing"

// TestSentAgain expects a repeated plan or evacuation to change nothing, not even
// the revision, and other content under a known or older plan version to be
// ignored.
func TestSentAgain(t *testing.T) {
	c := New()
	apply := func(change Change) {
		t.Helper()
		next, err := c.With(change)
		if err != nil {
			t.Fatal(err)
		}
		c = next
	}
	steps := []struct {
		change   Change
		revision uint64
	}{
		{Change{PutPlan: &Plan{Version: 5, Document: []byte("five")}}, 1},
		{Change{PutPlan: &Plan{Version: 5, Document: []byte("other")}}, 1},
		{Change{PutPlan: &Plan{Version: 4, Document: []byte("four")}}, 1},
		{Change{SetEvacuation: &Evacuation{DataCentre: "d"}}, 2},
		{Change{SetEvacuation: &Evacuation{DataCentre: "d"}}, 2},
		{Change{SetEvacuation: &Evacuation{DataCentre: "d", Ended: true}}, 3},
		{Change{SetEvacuation: &Evacuation{DataCentre: "d", Ended: true}}, 3},
	}
	for i, step := range steps {
		apply(step.change)
		if c.Revision != step.revision {
			t.Errorf("step %d: revision %d, want %d", i, c.Revision, step.revision)
		}
	}
	if string(c.Plan.Document) != "five" || len(c.Evacuated) != 0 {
		t.Errorf("plan %q, evacuated %v", c.Plan.Document, c.Evacuated)
	}
}
