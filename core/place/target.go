// Package place selects the target that serves a request.
//
// For each target it predicts the time until an answer begins, from the work
// sent there and the latency of earlier answers, and selects the target with
// the lowest cost. Work is counted in prompt tokens.
//
// Many prompts share their first parts, and reading a part costs far more than
// anything else. The VMs of a region map each shared part to the same target by
// rendezvous hashing, without exchanging messages, so that it is read once. A
// target whose backlog costs more than reading the parts again is skipped.
//
// It serves requests of a plan.Route. For those of a catalogue.Route, package route
// selects the target.
//
// All state is in memory and local to this VM. A VM knows the whole load only of
// the targets that it coordinates; for others it assumes that the other VMs of
// the region send as much as it does.
package place

import (
	"time"

	"kingcuprill/core/backlog"
	"kingcuprill/core/brittle"
	"kingcuprill/core/circuit"
	"kingcuprill/core/instance"
	"kingcuprill/core/targetlimit"
)

// Part is a segment of a prompt. A target that has read the leading segments of a
// prompt keeps them in its KV memory and needn't read them again.
type Part struct {
	ID     string
	Tokens int
}

// Demand is the work that a request causes at a target.
type Demand struct {
	Parts  []Part // in prompt order; the last one isn't shared
	Prompt int    // tokens
	Output int    // tokens, upper bound
	// Expected is an estimate of the output tokens.
	Expected int
}

// shared returns the ID of the last part that the prompt shares with others; the
// part after it belongs to this request alone.
func (d Demand) shared() string {
	return d.Parts[max(0, len(d.Parts)-2)].ID
}

// sharedParts returns the parts that the prompt shares with others.
func (d Demand) sharedParts() []Part {
	return d.Parts[:max(0, len(d.Parts)-1)]
}

// SharedIDs returns the ids of the parts that the prompt shares with others.
func (d Demand) SharedIDs() (ids []string) {
	for _, p := range d.sharedParts() {
		ids = append(ids, p.ID)
	}
	return ids
}

// Target is a target's registration and this VM's view of its load.
type Target struct {
	instance.Registration
	Region  string
	Circuit circuit.Breaker

	takenOver      time.Time // when this VM became its coordinator in place of another one
	coordinator    string    // VM of the region that knows the target's whole load
	inFlight       int
	pending        int                        // work of the assignments whose answer has not begun, tokens
	backlog        backlog.Backlog            // the same, by rank
	base           [backlog.Ranks]baseLatency // by rank
	newestAnswered [backlog.Ranks]time.Time   // start of the latest assignment of a rank that was answered
	waiting        map[*Assignment]bool       // assignments whose answer has not begun
	streams        map[*Assignment]bool       // assignments whose answer is in progress
	gap            time.Duration              // average time between two events of a stream
	memory         runningMemory              // of the requests in flight
	parts          map[string]cachedPart      // by ID, those that the target has presumably read
	cached         int                        // sum of the parts, tokens
	nextCold       time.Time                  // while the target is cold, this VM sends nothing before
	lastSuccess    time.Time
	errors         errorRate
	limit          targetlimit.Limit // that it names in its answers
	brittle        brittle.State
	leavingUntil   time.Time // it has said in an answer that it leaves
	pausedUntil    time.Time // it has refused a request of this VM and wants no other one before
	// restarted says that another start than that of the registration has answered.
	restarted bool
	// displacedUntil is set when another target has answered at the address.
	displacedUntil time.Time
}

type cachedPart struct {
	tokens int
	used   time.Time
}

// usable reports whether the target may get new requests, whatever its load.
func (t *Target) usable(now time.Time) bool {
	if now.Before(t.displacedUntil) || now.Before(t.leavingUntil) {
		return false
	}
	switch t.State {
	case instance.Ready:
	case instance.Silent:
		// Its heartbeats may fail to arrive while it still serves.
		if now.Sub(t.Heard) > silentGrace && now.Sub(t.lastSuccess) > silentGrace {
			return false
		}
	default:
		return false
	}
	return t.LeaveBy.IsZero() || now.Before(t.LeaveBy)
}

// slots returns how many requests the target runs at once.
func (t *Target) slots() int {
	if t.Slots == 0 {
		return defaultSlots
	}
	return t.Slots
}

// uncached returns the prompt tokens of a request that the target has to read:
// those after the leading parts that this VM knows it has read.
func (t *Target) uncached(d Demand) int {
	left := d.Prompt
	for _, p := range d.Parts {
		if _, found := t.parts[p.ID]; !found {
			return left
		}
		left -= p.Tokens
	}
	return max(0, left)
}

// recordParts records that the target has read the parts of a request, and evicts
// the least recently used parts while they exceed the engine's memory (capacity
// in tokens, 0 for no bound).
func (t *Target) recordParts(d Demand, capacity int, now time.Time) {
	for _, p := range d.Parts {
		if _, found := t.parts[p.ID]; !found {
			t.cached += p.Tokens
		}
		t.parts[p.ID] = cachedPart{tokens: p.Tokens, used: now}
	}
	for capacity > 0 && t.cached > capacity && len(t.parts) > 1 {
		t.evictOldest()
	}
}

func (t *Target) evictOldest() {
	oldest, at := "", time.Time{}
	for id, p := range t.parts {
		if oldest == "" || p.used.Before(at) {
			oldest, at = id, p.used
		}
	}
	t.cached -= t.parts[oldest].tokens
	delete(t.parts, oldest)
}
