package dispatch

import (
	"testing"
	"time"

	"kingcuprill/core/exchange"
	"kingcuprill/core/membership"
	"kingcuprill/core/target"
	"kingcuprill/core/vmstate"
)

func suspectRun(t *testing.T) *run {
	t.Helper()
	d := &Dispatcher{VMState: vmstate.New(membership.Member{ID: "vm"}, time.Minute)}
	request := exchange.Request{Organisation: "o", Generation: &exchange.Generation{Model: "m", Prompt: "first\n\nsecond\n\nown"}}
	r := d.newRun(request, false)
	if len(r.identity.Parts) != 2 {
		t.Fatalf("parts %v", r.identity.Parts)
	}
	d.VMState.Quarantine.Report("1", "t1/1", r.identity, true, false)
	r.judge()
	if !r.isolated() {
		t.Fatal("the request isn't suspect")
	}
	return r
}

// What becomes known while a trial runs doesn't change what its end releases.
func TestTrialReleasesItsParts(t *testing.T) {
	r := suspectRun(t)
	var live target.Live
	if !r.beginTrial(&live) {
		t.Fatal("no trial")
	}
	other := r.identity
	other.Fingerprint = "other"
	r.d.VMState.Quarantine.Sound(r.d.VMState.Quarantine.Mark(), other)
	r.judge()
	r.endTrial(&live)
	if !live.AdmitSuspect() || !r.d.VMState.Quarantine.BeginTrial(r.identity.Service, r.identity.Parts) {
		t.Error("parts or the target are still reserved after the trial")
	}
}

// A request that an answer has cleared runs like others.
func TestClearedRequestIsNotIsolated(t *testing.T) {
	r := suspectRun(t)
	list := r.d.VMState.Quarantine
	list.Sound(list.Mark(), r.identity)
	if r.judge(); r.isolated() {
		t.Error("the request is still suspect")
	}
}
