// Package name checks names that others choose, such as those of targets and data
// centres.
package name

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"kingcuprill/core/fault"
)

// maxLength bounds a name, in bytes.
const maxLength = 256

// Check returns a fault.Invalid error with the field if its value can't be a name: it is
// empty, too long, or not printable text.
func Check(field, value string) error {
	if value == "" || len(value) > maxLength {
		return fault.New(fault.Invalid, "%s: %s must have 1 to %d bytes", field, fault.Quote(value), maxLength)
	}
	if !utf8.ValidString(value) || strings.ContainsFunc(value, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return fault.New(fault.Invalid, "%s: %s must be printable text in UTF-8", field, fault.Quote(value))
	}
	return nil
}
