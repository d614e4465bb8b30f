package place

import (
	"strconv"
	"time"
)

// Request describes a request for the selection of its target.
type Request struct {
	Service   string
	Demand    Demand
	Sticky    bool            // prefers the target that has read its shared parts
	Excluded  []string        // ids of targets that were tried
	ColdRate  float64         // requests per second that a cold target can take, 0 for no bound
	Memory    int             // size of an engine's KV memory in tokens, 0 for other services and for no bound
	Evacuated map[string]bool // by data centre
	// PreferredBound is the predicted time until the answer begins up to which the
	// request goes to its preferred target, though others may be faster.
	PreferredBound time.Duration
	// Bound is the longest acceptable time until the answer begins, 0 for any.
	Bound time.Duration
	// Objective is the time within which the answer to a request should begin, counted
	// from the caller's first attempt, 0 if it isn't known.
	Objective time.Duration
	// EventTokens is the number of output tokens per event of a stream, 0 for
	// answers that aren't streamed.
	EventTokens int
	// Rank is the priority of the request at an engine, 0 is the most urgent.
	Rank     int
	Deadline time.Time
	Now      time.Time
	// Coordinated restricts the selection to the targets that this VM
	// coordinates, whose whole load it knows, and the preferred one.
	Coordinated bool
	Preferred   string // id of a target, empty to derive it from the prompt
	// Fetch says that targets can fetch the KV memory of prompts from each other.
	Fetch bool
	// Home is the id of the target at which the shared parts are read first.
	Home string
	// MayForward says that the request may be sent to the home region of its shared part,
	// which is another one, and AwayTime how much later its answer then begins.
	MayForward bool
	AwayTime   time.Duration
	// LeaveAfter is the predicted time until the answer begins above which the request
	// rather goes to another region, 0 for never.
	LeaveAfter time.Duration
	// Limits are the limits of the coordinator's targets that the VM knows that asks.
	Limits []TargetLimit
	// Apart says that the request may crash its target, so that it should run where it
	// harms the fewest others.
	Apart bool
	// SameVersion says that the software of the target must have Version, since an
	// earlier one of that version has begun the answer.
	SameVersion bool
	Version     string
	// Retry says that the request was sent to a target before.
	Retry bool
}

// accepts reports whether the software of the request's target may have a version.
func (r Request) accepts(version string) bool {
	return !r.SameVersion || version == r.Version
}

// affinity returns the rendezvous key of a request: its last shared part. For a
// request that needn't go to the same target as others it is the time, which
// spreads such requests over the targets.
func (r Request) affinity() string {
	if r.Sticky && len(r.Demand.Parts) > 0 {
		return r.Demand.shared()
	}
	return strconv.FormatInt(r.Now.UnixNano(), 36)
}

// Reason is the cause for which no target was selected.
type Reason string

// Reasons.
const (
	NoTargets Reason = "no_targets" // no usable target is known
	Full      Reason = "full"       // all are at their bounds on requests or memory, or their circuits are open
	Limited   Reason = "limited"    // all get as many requests as they have asked for
	Slow      Reason = "slow"       // none would begin to answer in time
	Elsewhere Reason = "elsewhere"  // it should run in the home region of its shared part
	Busier    Reason = "busier"     // it would begin to answer earlier in another region
	NoRetries Reason = "no_retries" // the retry budget of the service is used up
)

// LacksCapacity reports whether there may be a place once others have ended.
func (r Reason) LacksCapacity() bool {
	return r == Full || r == Limited || r == Slow
}
