// Package exchange holds what passes between a VM and a target for one
// request.
package exchange

import (
	"errors"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/hops"
)

// Request is one request after its key has been checked.
type Request struct {
	ID           string
	Organisation string // empty on an open route
	KeyID        string
	Route        catalogue.Route
	Path         hops.Path // VMs passed, this one last
	Deadline     time.Time
	Generation   *Generation // exactly one of Generation and Call is set
	Call         *Call
	Fingerprint  string
}

// Generation asks a model engine for tokens.
type Generation struct {
	Model      string
	Prompt     string
	MaxTokens  int
	ResumeFrom int    // index of the first token wanted
	ResumeText string // the tokens before it
}

// Call is a call to a plain service.
type Call struct {
	Method  string
	URL     string // path and query
	Headers []Header
	Body    []byte
}

// Header is one header line.
type Header struct {
	Name  string
	Value string
}

// Answer is the answer of a plain service.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Token is one piece of a generated answer.
type Token struct {
	Index int
	Text  string
}

// Usage counts the tokens of a finished generation.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// Failure is the end of an attempt without a whole answer.
type Failure struct {
	// NotRun tells that it is certain that no target has run the request or
	// will.
	NotRun bool
	// Final tells that another attempt can't help.
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

// NotRun tells whether an error says that the request did not run.
func NotRun(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.NotRun
}

// Final tells whether an error says that another attempt can't help.
func Final(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.Final
}
