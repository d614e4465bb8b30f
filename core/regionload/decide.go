package regionload

import "time"

const (
	// minMargin and marginShare give the time by which an answer must begin earlier in
	// another region: a time, or the share of the objective if that is longer.
	minMargin   = 50 * time.Millisecond
	marginShare = 0.1
	// leaveSpread is the share of the objective over which the share of requests that
	// leave grows from none to all.
	leaveSpread = 0.4
	// orderSpread is the share of the objective over which the choice between two regions
	// changes from one to the other.
	orderSpread = 0.2
)

// Margin returns the time by which the answer must begin earlier in another region.
func Margin(objective time.Duration) time.Duration {
	return max(minMargin, time.Duration(marginShare*float64(objective)))
}

// LeaveAfter returns the local prediction above which a request should rather run in another
// region with a prediction. draw is a random number from 0 to 1.
func LeaveAfter(remote, objective time.Duration, draw float64) time.Duration {
	return remote + RoundTrip + Margin(objective) + time.Duration(draw*leaveSpread*float64(objective))
}

// Weigh returns the time by which regions are compared for one request. draw is a random
// number from 0 to 1, another one for each region.
func Weigh(p Prediction, objective time.Duration, draw float64) time.Duration {
	return p.Begin + time.Duration(draw*orderSpread*float64(objective))
}

// WeighEarly is Weigh for a request whose own region isn't full. A region that is due for a
// trial comes first; without it, nothing would be learned of a region as long as another
// one suffices. usable is false for regions that are neither known nor due.
func WeighEarly(p Prediction, objective time.Duration, draw float64) (weight time.Duration, usable bool) {
	if p.Trial {
		return 0, true
	}
	return Weigh(p, objective, draw), p.Fresh
}
