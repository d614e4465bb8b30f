package front

import (
	"context"
	"errors"
	"os"
	"strings"
	"time"
)

// endKind is a way in which a request ends without a complete answer, other than a
// refusal of this VM that says that it has not run.
type endKind string

const (
	endedCallerLeft     endKind = "caller_left"
	endedNotWritten     endKind = "not_written" // the caller takes no bytes any more
	endedNotRead        endKind = "not_read"    // the body did not come whole
	endedDeadline       endKind = "deadline"
	endedStop           endKind = "stop"    // of this VM
	endedSilence        endKind = "silence" // of the target
	endedLinksLost      endKind = "links_lost"
	endedConnectionLost endKind = "connection_lost" // to the target
	endedOtherVM        endKind = "other_vm"        // to which the request was forwarded
	endedFailure        endKind = "failure"         // any other of the last try
	endedOpen           endKind = "open"            // the handler has ended without a result
)

// vmPrefix marks an entry VM in the target of a try.
const vmPrefix = "vm:"

// endKind returns why a request ends that is answered by no further try.
func (x *exchange) endKind(ctx context.Context) endKind {
	switch {
	case endedByStop(ctx), x.server.stop.Closed(time.Now()):
		return endedStop
	case x.caller.Context().Err() != nil:
		return endedCallerLeft
	case ctx.Err() != nil:
		return endedDeadline
	case strings.HasPrefix(x.target, vmPrefix):
		return endedOtherVM
	case errors.Is(x.lastError, errLinksLost):
		return endedLinksLost
	case errors.Is(x.lastError, errOvertaken), errors.Is(x.lastError, os.ErrDeadlineExceeded):
		return endedSilence
	case brokenOff(x.lastError):
		return endedConnectionLost
	}
	return endedFailure
}

// writeKind returns why an answer could not be written.
func (x *exchange) writeKind() endKind {
	switch {
	case x.server.stop.Closed(time.Now()):
		return endedStop
	case x.caller.Context().Err() != nil:
		return endedCallerLeft
	}
	return endedNotWritten
}

// heardNow records that the target of the current try has sent something, or was sent
// the request.
func (x *exchange) heardNow() {
	x.heard = time.Since(x.arrived)
}

// end writes the log line of a request that ends without a complete answer, and counts
// it by its kind.
func (x *exchange) end(kind endKind, message string, args ...any) {
	s := x.server
	s.Metrics.Count("ended." + string(kind))
	silent := time.Since(x.arrived) - x.heard
	fields := []any{"kind", kind, "silent", silent.Round(time.Millisecond), "revision", s.State.Read().Revision}
	if x.state != nil {
		fields = append(fields, "revision_at_arrival", x.state.Revision)
	}
	if stop, begun := s.stop.Stop(); begun {
		fields = append(fields, "stop_left", time.Until(stop.CloseAt()).Round(time.Millisecond))
	}
	x.log(message, append(fields, args...)...)
}

// abandon ends a request whose answer, if any has begun, must not look complete.
func (x *exchange) abandon(kind endKind, message string, args ...any) {
	x.abandoned = true
	x.end(kind, message, args...)
}

// settle is deferred by the handler: a request must not end unnoticed.
func (x *exchange) settle() {
	if !x.ended {
		x.end(endedOpen, "request ends without a result")
	}
}
