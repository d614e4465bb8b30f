// Package units converts plain numbers of external formats to typed values.
package units

import (
	"math"
	"time"
)

// Longest is the longest duration that a number is converted to. It is far below the
// range of a duration, so that durations can be added and times be shifted by them.
const Longest = 10 * 365 * 24 * time.Hour

// Milliseconds converts a number of milliseconds, which may have a fraction. Numbers
// beyond Longest give Longest, with their sign, and one that is none gives 0.
func Milliseconds(value float64) time.Duration {
	return duration(value * float64(time.Millisecond))
}

// Seconds converts a number of seconds like Milliseconds.
func Seconds(value float64) time.Duration {
	return duration(value * float64(time.Second))
}

func duration(nanoseconds float64) time.Duration {
	if math.IsNaN(nanoseconds) {
		return 0
	}
	return time.Duration(min(max(nanoseconds, -float64(Longest)), float64(Longest)))
}
