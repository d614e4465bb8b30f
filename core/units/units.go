// Package units converts numbers of outside formats to the types used here.
package units

import "time"

// Milliseconds returns a time that a format gives as a number.
func Milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
