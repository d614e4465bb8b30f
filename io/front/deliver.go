package front

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kingcuprill/core/bytebudget"
	"kingcuprill/core/eventstream"
	"kingcuprill/core/plan"
	"kingcuprill/io/upstream"
)

// silentGaps is the multiple of the route's MaxGap after which a stream without a new
// event is continued at another target, if that one begins first.
const silentGaps = 3

// errCallerLeft is returned when a write to the caller fails.
var errCallerLeft = errors.New("the caller has left")

// errNothingFollows is the error of an answer that should go on with a begun stream and
// has no event. The stream has broken off before its end, and such an answer may as well
// be one that a target gives when it has failed.
var errNothingFollows = errors.New("the target sent nothing after the events before")

// deliver passes an answer on to the caller. reserved is nil for the answer of
// another entry VM.
func (x *exchange) deliver(h *hedge, response *upstream.Response, reserved reservation) outcome {
	streamed := x.route.Kind == plan.Stream && response.StatusCode == http.StatusOK &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") && response.Header.Get("Content-Encoding") == ""
	if streamed {
		return x.deliverStream(h, response, reserved)
	}
	return x.deliverWhole(h, response, reserved)
}

// deliverWhole reads the complete answer before it sends any of it to the caller.
// If an earlier try has begun a stream, such an answer can't continue it.
func (x *exchange) deliverWhole(h *hedge, response *upstream.Response, reserved reservation) outcome {
	body, err := response.ReadAll(maxAnswer)
	if err == nil {
		defer body.Close()
	}
	if err == nil && !x.begun {
		if lost := x.take(h); lost != nil {
			return x.endWithout(response, lost)
		}
	}
	h.leave()
	response.Finish(err == nil)
	if reserved != nil {
		reserved.Answered(time.Now())
	}
	if err == nil && reserved != nil {
		x.recordSound()
	}
	if err != nil || x.begun {
		x.progress.err, x.lastError = err, err
		x.server.Log.Warn("answer of the target can't be used or does not continue the begun stream; the request is retried if possible", "request", x.id, "target", x.target, "error", err)
		return x.unfinished()
	}
	x.deliverBody(response, body)
	return delivered
}

// deliverBody sends a complete answer to the caller.
func (x *exchange) deliverBody(response *upstream.Response, body *bytebudget.Whole) {
	x.copyHeader(response)
	x.writer.Header().Set("Content-Length", strconv.FormatInt(body.Size(), 10))
	x.writer.WriteHeader(response.StatusCode)
	x.begun = true
	if _, err := body.WriteTo(x.writer); err != nil {
		x.abandon(x.writeKind(), "caller has left", "status", response.StatusCode)
		return
	}
	x.server.Metrics.Observe("answer."+x.route.Name, time.Since(x.arrived))
	x.use.countAnswer(int(body.Size()))
	x.use.noteComplete()
	x.log("request is answered", "status", response.StatusCode, "bytes", body.Size())
}

func (x *exchange) copyHeader(response *upstream.Response) {
	header := x.writer.Header()
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	// Only entry VMs may state that no target has run the request.
	deleteHops(header)
	x.closeInStop(header)
	x.setOrigin(header)
	x.setPredicted(header)
	if _, dated := header["Date"]; !dated {
		// A nil value keeps net/http from adding a Date header: answers carry only
		// the target's headers.
		header["Date"] = nil
	}
}

// deliverStream passes events on as they come, each as a whole.
func (x *exchange) deliverStream(h *hedge, response *upstream.Response, reserved reservation) outcome {
	last, begun := x.last, x.hasLast
	if !begun {
		last, begun = x.resumePoint()
	}
	reader := eventstream.NewReader(response.Body, last, begun)
	loan := response.Borrow()
	defer loan.Close()
	reader.Grow = loan.Resize
	controller := http.NewResponseController(x.writer)
	passed := false // an event of this answer
	for {
		event, err := reader.Next()
		if err != nil {
			err = cmp.Or(loan.Keep(), err)
		}
		if errors.Is(err, io.EOF) && !passed && unframed(response) {
			// The end of the connection is all that ends such a stream, and it has
			// ended before the answer.
			err = eventstream.ErrTruncated
		}
		if errors.Is(err, io.EOF) && !passed && x.begun {
			err = errNothingFollows
		}
		if err != nil && !errors.Is(err, io.EOF) {
			h.leave()
			return x.breakStream(response, err)
		}
		if lost := x.take(h); lost != nil {
			return x.endWithout(response, lost)
		}
		if err != nil {
			return x.endStream(response, reserved)
		}
		x.heardNow()
		if reserved != nil {
			now := time.Now()
			reserved.Answered(now)
			reserved.Event(now)
			x.server.Links.Heard()
			x.recordEvent(now)
		}
		passed = true
		if err := x.send(controller, response, event); err != nil {
			response.Finish(false)
			x.abandon(x.writeKind(), "caller has left", "reason", err.Error(), "last_event", x.last)
			return delivered
		}
		h.wait(x.eventTimeout())
	}
}

// unframed reports whether an answer has neither a length nor chunks, so that it ends
// with its connection.
func unframed(response *upstream.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// eventTimeout returns how long the next event may take before the stream is continued at
// another target, if that is possible.
func (x *exchange) eventTimeout() time.Duration {
	if x.route.MaxGap > 0 {
		return silentGaps * x.route.MaxGap
	}
	return x.tryTimeout()
}

// resumePoint returns the id of the last event that the caller has received in
// an earlier request.
func (x *exchange) resumePoint() (last int64, found bool) {
	last, err := strconv.ParseInt(x.header.Get(x.server.Headers.LastEvent), 10, 64)
	return last, err == nil
}

func (x *exchange) send(controller *http.ResponseController, response *upstream.Response, event eventstream.Event) error {
	if !x.begun {
		x.begin()
		x.copyHeader(response)
		x.writer.WriteHeader(response.StatusCode)
		x.begun = true
		x.first = time.Since(x.arrived)
		x.server.Metrics.Observe("first_event."+x.route.Name, x.first)
	}
	if _, err := x.writer.Write(event.Raw); err != nil {
		return errCallerLeft
	}
	if err := controller.Flush(); err != nil {
		return errCallerLeft
	}
	x.use.countAnswer(len(event.Raw))
	x.keepRecord(time.Now())
	if event.HasID {
		x.last, x.hasLast = event.ID, true
	}
	return nil
}

// endStream ends a stream after its last event.
func (x *exchange) endStream(response *upstream.Response, reserved reservation) outcome {
	if reserved != nil && !x.progress.began.IsZero() {
		x.recordSound()
	}
	response.Finish(true)
	if !x.begun {
		x.copyHeader(response)
		x.writer.WriteHeader(response.StatusCode)
		x.begun = true
	}
	x.server.Metrics.Observe("answer."+x.route.Name, time.Since(x.arrived))
	x.use.noteComplete()
	x.log("request is answered", "status", response.StatusCode, "last_event", x.last)
	return delivered
}

// breakStream handles the end of a stream that has broken off.
func (x *exchange) breakStream(response *upstream.Response, err error) outcome {
	response.Finish(false)
	x.progress.err, x.lastError = err, err
	if x.caller.Context().Err() == nil && !errors.Is(err, errNotNeeded) && !errors.Is(err, errOvertaken) {
		x.server.Log.Warn("stream of the target has broken off; the request is retried if possible", "request", x.id, "target", x.target, "last_event", x.last, "begun", x.begun, "parts", x.demand.SharedIDs(), "error", err)
	}
	return x.unfinished()
}
