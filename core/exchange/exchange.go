// Package exchange defines the request that a VM sends to a target, the parts of
// the answer and the failure of an attempt.
package exchange

import (
	"errors"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/hops"
)

// Request is one request whose API key has been checked.
type Request struct {
	ID           string
	Organisation string // empty for a request without a key, which only open routes accept
	KeyID        string // empty for a request without a key
	Route        catalogue.Route
	Path         hops.Path // VMs that the request has passed, this one last
	Deadline     time.Time
	Generation   *Generation // exactly one of Generation and Call is set
	Call         *Call
}

// Generation is a request for tokens from a model engine.
type Generation struct {
	Model      string
	Prompt     string
	MaxTokens  int
	ResumeFrom int    // index of the first token wanted
	ResumeText string // the tokens before it
	// SameVersion says that the engine's software must have Version, since one of that
	// version has generated the tokens before.
	SameVersion bool
	Version     string
}

// Call is an HTTP request to a service that is not a model engine.
type Call struct {
	Method  string
	URL     string // path and query
	Headers []Header
	Body    []byte
}

// IDHeader carries the id of an exchange. A target that repeats it in its answer shows
// which exchange the answer belongs to.
const IDHeader = "Kingcuprill-Exchange-Id"

// Header is one HTTP header line.
type Header struct {
	Name  string
	Value string
}

// Answer is the HTTP answer to a Call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Token is one piece of a generated answer.
type Token struct {
	Index   int
	Text    string
	Version string // of the software of the engine that has generated it
}

// Usage counts the tokens of a finished generation.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// Failure is the error of an attempt that ended without a complete answer.
type Failure struct {
	// NotRun is true if no target has run the request and none will.
	NotRun bool
	// Final is true if another attempt can't succeed.
	Final bool
	Err   error
}

// Error returns the text of the cause.
func (f *Failure) Error() string {
	return f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Err
}

// NotRun reports whether an error wraps a Failure which says that the request did
// not run.
func NotRun(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.NotRun
}

// Final reports whether an error wraps a Failure which says that another attempt
// can't succeed.
func Final(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.Final
}
