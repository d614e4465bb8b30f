// Package units converts plain numbers of external formats to typed values.
package units

import "time"

// Milliseconds converts a number of milliseconds, which may have a fraction.
func Milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
