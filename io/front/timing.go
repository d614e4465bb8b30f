package front

import "time"

const (
	// minTryTimeout is the least time that a target has to begin its answer before
	// a repeatable request is sent to another target.
	minTryTimeout = time.Second
	// boundShare is the share of the route's objective, the time within which an
	// answer should begin, by which the answer to a new request must be predicted
	// to begin.
	boundShare = 0.95
	// preferredShare is the share of the objective up to which a request goes to
	// the target that has read the shared parts of its prompt.
	preferredShare = 0.45
	// returnedDivisor gives the share of the objective from which on a request
	// counts as the retry of a refused one: it has waited that long before it
	// reached this VM.
	returnedDivisor = 4
	// returnedBound is the number of objectives within which the answer to such a
	// retry must be predicted to begin.
	returnedBound = 1
	// deadlineMargin keeps the timeout of a try from ending just before the
	// request's own deadline.
	deadlineMargin = time.Second
)

// elapsed returns how long the caller has waited, including earlier requests that
// were refused: a retry has less time left than the route allows.
func (x *exchange) elapsed(now time.Time) time.Duration {
	return max(0, x.route.Timeout-x.deadline.Sub(now))
}

// preferredBound returns the predicted time until the answer begins up to which
// the request goes to its preferred target. The rest of the objective is left for
// network latency and prediction errors.
func (x *exchange) preferredBound(now time.Time) time.Duration {
	return time.Duration(preferredShare*float64(x.route.Objective)) - x.elapsed(now)
}

// bound returns the longest acceptable time until the answer begins. A new request
// is refused unless it can be answered in time, so that a backlog doesn't make all
// answers late. A retry has waited already and has precedence: its bound is
// longer.
func (x *exchange) bound(now time.Time) time.Duration {
	waited := x.elapsed(now)
	left := x.deadline.Sub(now)
	inTime := time.Duration(boundShare*float64(x.route.Objective)) - waited
	if x.from != "" {
		inTime -= interRegionLatency
	}
	if waited > x.route.Objective/returnedDivisor {
		return max(1, min(left/2, returnedBound*x.route.Objective))
	}
	return max(1, inTime)
}

// tryTimeout returns how long a target may take to begin its answer.
func (x *exchange) tryTimeout() time.Duration {
	left := time.Until(x.deadline)
	if !x.couldRepeatAfter(x.runs + 1) {
		return left + deadlineMargin
	}
	return min(left+deadlineMargin, max(minTryTimeout, x.route.Objective*3/2))
}

func (x *exchange) couldRepeat() bool {
	return x.couldRepeatAfter(x.runs)
}

// couldRepeatAfter reports whether the request may be run again after the given
// number of runs.
func (x *exchange) couldRepeatAfter(runs int) bool {
	return x.route.MayRepeat() && runs < x.attempts() && x.tries < x.maxTries()
}
