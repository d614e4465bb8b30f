// Package fault provides errors with a code for programs and a text for people.
// The code is passed on between VMs and to callers and operators.
package fault

import (
	"errors"
	"fmt"
	"strconv"
)

// Code classifies an error for programs. Its text is part of the public
// interface.
type Code string

// Codes of the errors that callers and operators see.
const (
	Unauthenticated Code = "unauthenticated"
	Forbidden       Code = "forbidden"
	NotFound        Code = "not_found"
	Invalid         Code = "invalid"
	Conflict        Code = "conflict"       // contradicts the current state, such as an id that is taken
	StaleRevision   Code = "stale_revision" // the expected revision is not the current one
	RateLimited     Code = "rate_limited"
	Residency       Code = "residency"       // a residency rule forbids the region
	Loop            Code = "loop"            // forwarded too often, or to a VM that it has passed
	Quarantined     Code = "quarantined"     // not run, since the targets that ran it crashed
	NoTarget        Code = "no_target"       // no target serves the route where the request may run
	NoQuorum        Code = "no_quorum"       // the control log has no leader or majority in reach; nothing was changed
	OutcomeUnknown  Code = "outcome_unknown" // the change or call may have taken effect
	AnswerLost      Code = "answer_lost"     // the call ran once; its answer is not available here
	Deadline        Code = "deadline"
	Overloaded      Code = "overloaded"
	Interrupted     Code = "interrupted"
	Internal        Code = "internal"
)

// Error is an error whose code is kept when it is sent to another VM.
type Error struct {
	Code Code
	Text string
}

// Error returns the text.
func (e *Error) Error() string {
	return e.Text
}

// New returns an error with a code and a formatted text.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of an error or of one that it wraps, and Internal if
// there is none.
func CodeOf(err error) Code {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Internal
}

// Annotate prefixes a function's error with what was being done; it leaves nil as
// it is. Defer it with the address of the named error result.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), *err)
	}
}

// Quote quotes a value for an error or a log line. It shortens one of more than 60 bytes.
func Quote(value string) string {
	const longest = 60 // bytes
	if len(value) <= longest {
		return strconv.Quote(value)
	}
	return strconv.Quote(value[:longest]) + fmt.Sprintf(" (%d bytes)", len(value))
}
