package regionload

import (
	"strconv"
	"time"
)

// maxDigits is the most digits of a prediction in a header.
const maxDigits = 6

// Format returns the text of a prediction in a header, whole milliseconds. It is empty if
// there is no prediction.
func Format(predicted time.Duration) string {
	if predicted <= 0 {
		return ""
	}
	const longest = 999_999
	milliseconds := (predicted + time.Millisecond - 1) / time.Millisecond
	return strconv.FormatInt(min(int64(milliseconds), longest), 10)
}

// Parse reads a prediction in a header. Anything but 1 to 6 digits is no prediction.
func Parse(text string) (predicted time.Duration, found bool) {
	if len(text) == 0 || len(text) > maxDigits {
		return 0, false
	}
	milliseconds := time.Duration(0)
	for _, digit := range []byte(text) {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		milliseconds = 10*milliseconds + time.Duration(digit-'0')
	}
	return milliseconds * time.Millisecond, true
}
