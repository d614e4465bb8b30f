package front

import "time"

const (
	// shortestTry is the least time that a target has to begin its answer before
	// a repeatable request is sent to another one.
	shortestTry = time.Second
	// boundShare is the part of its objective within which the answer to a
	// newcomer must be predicted to begin.
	boundShare = 0.95
	// comfortShare is the part of its objective within which a request stays at
	// the target that has read the shared parts of its prompt.
	comfortShare = 0.45
	// returnedShare is the part of its objective that a caller has waited before
	// this VM at least, when it comes back after a refusal.
	returnedShare = 4
	// returnedBound is the number of objectives within which the answer to one
	// that comes back must be predicted to begin.
	returnedBound = 1
	// afterDeadline keeps the patience with a target from ending just before the
	// request's own deadline.
	afterDeadline = time.Second
)

// elapsed is how long the caller has waited, earlier tries included: who comes
// back has less time left than the route allows.
func (x *exchange) elapsed(now time.Time) time.Duration {
	return max(0, x.route.Timeout-x.deadline.Sub(now))
}

// comfort is the time until an answer begins that leaves enough of the
// objective to the answer's way and to what can't be predicted.
func (x *exchange) comfort(now time.Time) time.Duration {
	return time.Duration(comfortShare*float64(x.route.Objective)) - x.elapsed(now)
}

// bound is the longest time until an answer begins that is worth while. A
// newcomer must be in time, so that a backlog doesn't make all late. One that
// comes back has waited already and goes before newcomers.
func (x *exchange) bound(now time.Time) time.Duration {
	waited := x.elapsed(now)
	left := x.deadline.Sub(now)
	inTime := time.Duration(boundShare*float64(x.route.Objective)) - waited
	if x.from != "" {
		inTime -= hopReturn
	}
	if waited > x.route.Objective/returnedShare {
		return max(1, min(left/2, returnedBound*x.route.Objective))
	}
	return max(1, inTime)
}

// patience is how long a target may take to begin its answer.
func (x *exchange) patience() time.Duration {
	left := time.Until(x.deadline)
	if !x.couldRepeatAfter(x.runs + 1) {
		return left + afterDeadline
	}
	return min(left+afterDeadline, max(shortestTry, x.route.Objective*3/2))
}

func (x *exchange) couldRepeat() bool {
	return x.couldRepeatAfter(x.runs)
}

// couldRepeatAfter tells whether the route allows another run after some.
func (x *exchange) couldRepeatAfter(runs int) bool {
	return x.route.MayRepeat() && runs < x.attempts() && x.tries < x.mostTries()
}
