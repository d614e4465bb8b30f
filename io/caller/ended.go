package caller

import (
	"errors"

	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
)

// Kinds of ends without a complete answer, besides the codes of the errors.
const (
	endedCallerLeft = "caller_left"
	endedNotWritten = "not_written" // the caller takes no bytes any more
	endedOpen       = "open"        // the handler has ended without a result
)

// errNotWritten is the error of an answer that could not be written.
var errNotWritten = errors.New("the answer could not be written")

// endKind returns the way in which a request ended without a complete answer, or "" if it
// was answered or refused without having run.
func (in *incomingRequest) endKind(err error) string {
	code := fault.CodeOf(err)
	switch {
	case err == nil:
		return ""
	case in.r.Context().Err() != nil:
		return endedCallerLeft
	case errors.Is(err, errNotWritten):
		return endedNotWritten
	case exchange.NotRun(err) || notRunCode(code) || code == fault.Overloaded:
		return ""
	}
	return string(code)
}

// noteEnd counts an end without a complete answer and returns what is logged about it.
func (s *Server) noteEnd(in *incomingRequest, kind string) []any {
	if kind == "" {
		return nil
	}
	s.Metrics.Count("ended." + kind)
	return []any{"kind", kind, "stopping", s.VMState.Draining.Load(), "revision", s.VMState.Catalogue.Read().Revision, "revision_at_arrival", in.revision}
}
