package front

import "time"

const (
	// minTryTimeout is the least time that a target has to begin its answer before
	// a repeatable request is sent to another target too.
	minTryTimeout = time.Second
	// boundShare is the share of the route's objective, the time within which an
	// answer should begin, by which the answer to a new request must be predicted
	// to begin.
	boundShare = 0.95
	// preferredShare is the share of the objective up to which a request goes to
	// the target that has read the shared parts of its prompt.
	preferredShare = 0.45
	// continuedDivisor gives the part of the time left within which the rest of a stream
	// must be predicted to begin.
	continuedDivisor = 2
)

// preferredBound returns the predicted time until the answer begins up to which
// the request goes to its preferred target. The rest of the objective is left for
// network latency and prediction errors.
func (x *exchange) preferredBound(now time.Time) time.Duration {
	return time.Duration(preferredShare*float64(x.route.Objective)) - now.Sub(x.arrived)
}

// bound returns the longest acceptable time until the answer begins. A new request
// is refused unless it can be answered in time, so that a backlog doesn't make all
// answers late. Package place extends it for requests that return after a refusal.
func (x *exchange) bound(now time.Time) time.Duration {
	if x.origin.known {
		// The rest of a stream can't be answered in time any more, but is of no use to the
		// caller without it.
		return max(1, x.deadline.Sub(now)/continuedDivisor)
	}
	left := time.Duration(boundShare*float64(x.route.Objective)) - now.Sub(x.arrived)
	if x.from != "" && !x.fromNeighbour() {
		left -= interRegionLatency
	}
	return max(1, left)
}

// fromNeighbour reports whether a VM of this region has forwarded the request.
func (x *exchange) fromNeighbour() bool {
	sender, known := x.entry(x.from)
	return known && sender.Region == x.server.Region
}

// tryTimeout returns how long a target may take to begin its answer before another one is
// tried beside it.
func (x *exchange) tryTimeout() time.Duration {
	return max(minTryTimeout, x.route.Objective*3/2)
}

// couldRepeat reports whether the request may be run again.
func (x *exchange) couldRepeat() bool {
	return x.route.MayRepeat() && x.runs < x.attempts() && x.hasTries()
}
