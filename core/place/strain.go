package place

import "time"

const (
	// gapWeight is the weight of one more event in the average gap.
	gapWeight = 0.05
	// strainShare is the part of a target's streams that may be predicted to miss
	// their deadlines before it gets no new ones.
	strainShare = 0.1
	// strainStreams is the least number of streams that tells of strain.
	strainStreams = 4
	// longEvents is the number of events from which an answer is long. Short ones
	// hardly slow the others and end in time themselves.
	longEvents = 10
)

// long tells whether a request is expected to have a long answer.
func (r Request) long() bool {
	return r.EventTokens > 0 && r.Demand.Expected >= longEvents*r.EventTokens
}

// strained tells whether the streams that run at a target are so slow that many
// will not end in time.
//
// The load pattern it answers: long answers beside many prompts. Each prompt
// that is read slows the answers that run; without this bound, the longest ran
// into their deadlines after they had used a target for all of that time.
func (t *Target) strained(now time.Time) bool {
	if len(t.streams) < strainStreams {
		return false
	}
	late := 0
	for v := range t.streams {
		left := v.deadline.Sub(now)
		if time.Duration(v.expected-v.progress(now))*t.gap > left {
			late++
		}
	}
	return float64(late) > strainShare*float64(len(t.streams))
}
