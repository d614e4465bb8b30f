package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"kingcuprill/core/place"
	"kingcuprill/core/streamversion"
	"kingcuprill/io/upstream"
)

// try sends the request to the target of a reservation. If that one is silent, others are
// tried beside it.
func (x *exchange) try(ctx context.Context, reserved reservation) outcome {
	target, _ := reserved.Where()
	x.answering = &streamversion.Version{Service: x.service, Version: reserved.Version()}
	x.tries++
	x.target = target
	x.excluded = append(x.excluded, target)
	known := false
	x.start, known = x.startOf(reserved)
	if x.outlastsStop() || x.unconfirmed() || !known || !x.maySend(reserved) {
		x.unsent++
		reserved.Done(place.Inconclusive, time.Now())
		return notRun
	}
	bounded, h := x.startHedge(ctx, x.tryTimeout(), 1)
	return h.finish(x.tryTarget(bounded, h, reserved))
}

// tryTarget sends the request to the target of a reservation and delivers the answer.
func (x *exchange) tryTarget(ctx context.Context, h *hedge, reserved reservation) outcome {
	s := x.server
	target, address := reserved.Where()
	observed := place.Inconclusive
	defer func() { reserved.Done(observed, time.Now()) }()
	sent := time.Now()
	links := x.watchLinks(ctx, h)
	defer links.stop()
	request := x.request(x.targetHeader(target, reserved.Source()), s.Region)
	request.Connecting, request.Start = links.connecting, x.start
	response, err := x.sendWatched(ctx, target, address, request)
	x.noteStart(target, response, err)
	if err != nil {
		h.leave()
		observed = x.blame(ctx, target, err)
		x.recordBreak(target, address, false, err)
		result := x.recordConnectionError(err, 1)
		if result == notRun {
			x.unsent++
		}
		return result
	}
	s.Links.Heard()
	x.noteHead(reserved, response, sent)
	if response.Header.Get(s.Headers.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		h.leave()
		observed = x.endRefused(target, response)
		return notRun
	}
	result := x.receive(h, response, reserved, 1)
	switch {
	case response.StatusCode >= http.StatusInternalServerError:
		observed = place.Error
		return result
	case result == delivered:
		observed = place.Success
	default:
		observed = x.blame(ctx, target, x.progress.err)
	}
	if x.progress.mayHaveCrashed() {
		x.recordBreak(target, address, x.progress.began.IsZero(), x.progress.err)
	}
	return result
}

// receive takes the answer of a try that stands for a number of runs, from its head on. An
// error is kept back as long as another target may answer. reserved is nil for the answer
// of another entry VM.
func (x *exchange) receive(h *hedge, response *upstream.Response, reserved reservation, runs int) outcome {
	if response.StatusCode >= http.StatusInternalServerError {
		h.leave()
		x.runs += runs
		if x.couldRepeat() || !x.ownsAnswer() {
			return x.keepFailure(response)
		}
		return x.deliver(h, response, nil)
	}
	if !h.goOn() {
		return x.endWithout(response, errOvertaken)
	}
	x.heardNow()
	x.runs += runs
	if reserved == nil {
		x.answering = x.answeringVersion(response)
	} else if !x.confirmed(response) {
		x.answering = nil
	}
	x.progress = answerProgress{mark: x.server.Quarantine.Mark()}
	h.wait(x.tryTimeout())
	return x.deliver(h, response, reserved)
}

// take takes the right to deliver the part of the answer that has come. It returns an
// error if another try has it.
func (x *exchange) take(h *hedge) error {
	if !h.goOn() {
		return errOvertaken
	}
	if !x.claimAnswer() {
		return errNotNeeded
	}
	return nil
}

// endWithout ends a try whose answer another one delivers.
func (x *exchange) endWithout(response *upstream.Response, err error) outcome {
	response.Finish(false)
	x.progress.err = err
	return x.unfinished()
}

// unfinished returns the outcome of a try that has not answered the request to its end.
func (x *exchange) unfinished() outcome {
	if x.begun {
		return broken
	}
	return mayHaveRun
}

// endRefused reads a target's refusal of a request that it has not run, and returns what
// it says about the target.
func (x *exchange) endRefused(target string, response *upstream.Response) (observed place.Result) {
	response.Finish(response.Discard() == nil)
	x.server.Log.Info("target has refused the request without running it", "request", x.id, "target", target, "status", response.StatusCode)
	switch response.StatusCode {
	case http.StatusServiceUnavailable:
		return place.Refused
	case http.StatusMisdirectedRequest:
		x.server.Placer.MarkDisplaced(target, time.Now())
		return place.Displaced
	}
	return place.Inconclusive
}

// recordConnectionError maps a connection error to the outcome of the try. If the
// request was sent, runs are added to those that may have run.
func (x *exchange) recordConnectionError(err error, runs int) outcome {
	var failure *upstream.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	if errors.Is(err, errNotNeeded) {
		return x.countRuns(sent, runs)
	}
	x.server.Metrics.Count("tries.failed")
	x.lastError = err
	x.server.Log.Warn("try has failed without an answer; the request is retried if possible", "request", x.id, "target", x.target, "try", x.tries, "sent", sent, "parts", x.demand.SharedIDs(), "error", err)
	return x.countRuns(sent, runs)
}

// countRuns adds the runs of a try without an answer, if the request was sent.
func (x *exchange) countRuns(sent bool, runs int) outcome {
	if !sent {
		return notRun
	}
	x.runs += runs
	return mayHaveRun
}

// keepFailure reads an answer with an error status, which is delivered if no later
// try succeeds.
func (x *exchange) keepFailure(response *upstream.Response) outcome {
	body, err := response.ReadAll(maxAnswer)
	response.Finish(err == nil)
	if err == nil {
		x.failure = &failedAnswer{response: response, body: body}
		context.AfterFunc(x.caller.Context(), body.Close)
	}
	x.server.Log.Warn("target has answered with an error; the request is retried if possible", "request", x.id, "target", x.target, "status", response.StatusCode)
	return mayHaveRun
}
