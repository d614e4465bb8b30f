// Package place chooses the target of a request.
//
// The load pattern it answers: requests share the first parts of their prompts,
// and reading a part costs far more than anything else. VMs of a region agree
// on a target for a part without talking, by rendezvous hashing, so that each
// part is read once; a target whose backlog outweighs the cost of reading the
// parts again is passed over.
package place

import (
	"time"

	"kingcuprill/core/circuit"
	"kingcuprill/core/instance"
)

// Part is a part of a prompt that requests share.
type Part struct {
	ID     string
	Tokens int
}

// Demand is what a request asks of a target.
type Demand struct {
	Parts  []Part
	Prompt int // tokens
	Output int // tokens, at most
	// Expected is an estimate of the output tokens.
	Expected int
}

// shared names the last part that the prompt shares with others; the part
// behind it is the request's own.
func (d Demand) shared() string {
	return d.Parts[max(0, len(d.Parts)-2)].ID
}

// Target is one target with what this VM knows of its load.
type Target struct {
	instance.Registration
	Region  string
	Circuit circuit.Breaker

	coordinator string // VM of the region that knows all of the target's load
	inFlight    int
	pending     int // work sent that no answer has come for, tokens
	base        base
	newest      time.Time       // begin of the newest visit that was answered
	waiting     map[*Visit]bool // visits without an answer yet
	streams     map[*Visit]bool // visits whose answers run
	gap         time.Duration   // average time between two events
	memory      int             // tokens of the requests that run
	parts       map[string]part
	cached      int // tokens of parts
	nextCold    time.Time
	lastOK      time.Time
	// goneUntil is set while another target answers at the address.
	goneUntil time.Time
}

type part struct {
	tokens int
	used   time.Time
}

// usable tells whether the target may get a new request at all.
func (t *Target) usable(now time.Time) bool {
	if now.Before(t.goneUntil) {
		return false
	}
	switch t.State {
	case instance.Ready:
	case instance.Silent:
		// Its heartbeats may be cut off while it serves.
		if now.Sub(t.Heard) > silentUseFor && now.Sub(t.lastOK) > silentUseFor {
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

// uncached returns the prompt tokens of a request that the target has not read
// as far as this VM knows.
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

// remember notes that the target has read the parts of a request. The least
// recently used parts go where the engine's memory is full.
func (t *Target) remember(d Demand, capacity int, now time.Time) {
	for _, p := range d.Parts {
		if _, found := t.parts[p.ID]; !found {
			t.cached += p.Tokens
		}
		t.parts[p.ID] = part{tokens: p.Tokens, used: now}
	}
	for capacity > 0 && t.cached > capacity && len(t.parts) > 1 {
		t.dropOldest()
	}
}

func (t *Target) dropOldest() {
	oldest, at := "", time.Time{}
	for id, p := range t.parts {
		if oldest == "" || p.used.Before(at) {
			oldest, at = id, p.used
		}
	}
	t.cached -= t.parts[oldest].tokens
	delete(t.parts, oldest)
}
