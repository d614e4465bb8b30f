// Package fault holds the errors that travel between packages and to callers.
package fault

import (
	"errors"
	"fmt"
)

// Code names the kind of an error for programs.
type Code string

// Codes of the errors that callers and operators see.
const (
	Unauthenticated Code = "unauthenticated"
	Forbidden       Code = "forbidden"
	NotFound        Code = "not_found"
	Invalid         Code = "invalid"
	Conflict        Code = "conflict"
	StaleRevision   Code = "stale_revision"
	RateLimited     Code = "rate_limited"
	Residency       Code = "residency"
	Loop            Code = "loop"
	Quarantined     Code = "quarantined"
	NoTarget        Code = "no_target"
	NoQuorum        Code = "no_quorum"
	OutcomeUnknown  Code = "outcome_unknown"
	AnswerLost      Code = "answer_lost" // it ran once; its answer can't be had here
	Deadline        Code = "deadline"
	Overloaded      Code = "overloaded"
	Interrupted     Code = "interrupted"
	Internal        Code = "internal"
)

// Error is an error with a code that survives the way between VMs.
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

// CodeOf returns the code of an error, Internal where it carries none.
func CodeOf(err error) Code {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Internal
}

// Annotate puts what was being done before the error that a function returns.
// Call it deferred with the address of the named result.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), *err)
	}
}
