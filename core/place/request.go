package place

import (
	"strconv"
	"time"
)

// Request is what the placer needs to know of a request.
type Request struct {
	Service   string
	Demand    Demand
	Sticky    bool
	Excluded  []string // ids of targets that were tried
	ColdRate  float64  // requests a second that a cold target bears
	Memory    int      // tokens of a target's engine, 0 where it has no bound
	Evacuated map[string]bool
	// Comfort is the time until the answer begins with which the request stays
	// at the target that has read its shared parts, though others may be faster.
	Comfort time.Duration
	// Bound is the longest time until the answer begins that is worth while, 0
	// for any.
	Bound time.Duration
	// EventTokens is the number of output tokens in an event of a stream, 0 for
	// answers that are no streams.
	EventTokens int
	Deadline    time.Time
	Now         time.Time
	// Coordinated asks for a target that this VM coordinates, so that all of its
	// load is known here, or for the preferred one.
	Coordinated bool
	Preferred   string // id of a target, empty to choose by the prompt
	// Fetch tells that targets can fetch the memory of prompts from each other,
	// and Home names the one at which the shared parts are read first.
	Fetch bool
	Home  string
}

// affinity is what requests have in common that go to the same target.
func (r Request) affinity() string {
	if r.Sticky && len(r.Demand.Parts) > 0 {
		return r.Demand.shared()
	}
	return strconv.FormatInt(r.Now.UnixNano(), 36)
}

// Reason tells why no target was chosen.
type Reason string

// Reasons.
const (
	NoTargets Reason = "no_targets" // none that may be used is known
	Full      Reason = "full"       // all are at their bounds
	Slow      Reason = "slow"       // none would begin to answer in time
)
