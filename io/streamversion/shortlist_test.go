package streamversion

import (
	"testing"
	"time"

	"kingcuprill/core/streamversion"
)

// A control VM joins, and targets of a new version report only there. An entry VM that was
// out of step doesn't know it, and all that it knows have heard of one version only.
func TestStreamsAreUnknownToAShortListOfControlVMs(t *testing.T) {
	controls, all := startControls(t, 3)
	before := func() []string { return all()[:2] }
	for i, version := range []string{"v1", "v1", "v2"} {
		c := controls[i]
		c.Heard = streamversion.NewHeard(time.Now().Add(-time.Hour))
		c.Heard.Note(streamversion.Version{Service: "s", Version: version}, time.Now())
		c.Controls = before
	}
	entry := newClient(before)
	if v, found := entry.Find(t.Context(), "a", "s"); !found || v != v1 {
		t.Fatalf("version %v, found %v, though all control VMs have heard of one", v, found)
	}
	for _, c := range controls {
		c.Controls = all
	}
	if v, found := entry.Find(t.Context(), "a", "s"); found {
		t.Errorf("version %v, though a control VM that has just joined has heard of another one", v)
	}
}

// An entry VM that was out of step for longer than control VMs tell of a change asks only
// those that it remembers.
func TestStreamsAreUnknownToAVMThatIsNotConfirmed(t *testing.T) {
	controls, all := startControls(t, 2)
	for _, c := range controls {
		c.Heard = streamversion.NewHeard(time.Now().Add(-time.Hour))
		c.Heard.Note(v1, time.Now())
	}
	entry := newClient(all)
	entry.Confirmed = func() bool { return false }
	if v, found := entry.Find(t.Context(), "a", "s"); found {
		t.Errorf("version %v, though this VM may not know all control VMs", v)
	}
	entry.Record("a", v1)
	if v, found := entry.Find(t.Context(), "a", "s"); !found || v != v1 {
		t.Errorf("version %v, found %v, though this VM has recorded the stream", v, found)
	}
}
