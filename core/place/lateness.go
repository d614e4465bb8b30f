package place

import "time"

const (
	// gapWeight is the weight of a new event in the moving average of the gap.
	gapWeight = 0.05
	// maxLateShare is the share of a target's streams that may be predicted to
	// miss their deadlines before it gets no new long ones.
	maxLateShare = 0.1
	// minStreams is the number of streams below which none are predicted late.
	minStreams = 4
	// longEvents is the number of events from which an answer counts as long.
	// Shorter ones hardly slow the others and end in time themselves.
	longEvents = 10
)

// IsLong reports whether a request is expected to have a long answer.
func (r Request) IsLong() bool {
	return r.EventTokens > 0 && r.Demand.Expected >= longEvents*r.EventTokens
}

// endsLate reports whether a long answer is predicted to end after its deadline at
// the speed of the streams in progress.
func (t *Target) endsLate(r Request) bool {
	events := r.Demand.Expected / max(1, r.EventTokens)
	return time.Duration(events)*t.gap > r.Deadline.Sub(r.Now)
}

// refusesLong reports whether a request is long and the target's streams are too slow
// for it, or for the long ones in progress.
func (t *Target) refusesLong(r Request) bool {
	return r.IsLong() && (t.endsLate(r) || t.streamsLate(r.Now))
}

// streamsLate reports whether the streams in progress at a target are so slow
// that many of them will miss their deadlines.
//
// Each prompt that a target reads slows its answers in progress. Without this
// bound, with long answers and many prompts, the longest answers reached their
// deadlines after they had used the target for all of that time.
func (t *Target) streamsLate(now time.Time) bool {
	if len(t.streams) < minStreams {
		return false
	}
	late := 0
	for a := range t.streams {
		left := a.deadline.Sub(now)
		if time.Duration(a.expected-a.progress(now))*t.gap > left {
			late++
		}
	}
	return float64(late) > maxLateShare*float64(len(t.streams))
}
