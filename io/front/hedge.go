package front

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// hedgeAgain is the pause after which another try is looked for again.
const hedgeAgain = 500 * time.Millisecond

var (
	// errOvertaken ends a silent try, as a hedged one has the answer.
	errOvertaken = errors.New("the target was silent and another one has the answer")
	// errNotNeeded ends a hedged try, as the silent target goes on.
	errNotNeeded = errors.New("the target that was silent goes on")
)

// hedgeState is the state of the try that a hedge belongs to.
type hedgeState uint8

const (
	tryWaits     hedgeState = iota // for its target; a hedged try may begin
	tryDelivers                    // what its target has sent; no hedged try may have the answer
	tryEnds                        // without an answer; a hedged try that runs may have it
	tryOvertaken                   // a hedged try has the answer
)

// hedge runs further tries of a request beside one whose target is silent. The silent
// try isn't given up for that. The first of the two that has a part of the answer is the
// only one to deliver it, and the other one is ended. An engine runs a request from its first
// token on, so that two engines run it for no longer than that token takes to this VM. If no
// hedged try is possible or all fail, the silent target has until the deadline.
type hedge struct {
	exchange *exchange // of the try; its fields change only while the try doesn't wait
	ctx      context.Context
	end      context.CancelCauseFunc // ends the try

	mu      sync.Mutex
	state   hedgeState
	timer   *time.Timer
	pending int                     // runs for which the try stands and that its exchange doesn't count yet
	runs    int                     // of the exchange and the try
	unsent  int                     // unsent tries of the exchange before this one
	beside  *exchange               // of the hedged try that may have the answer, nil if there is none
	cancel  context.CancelCauseFunc // ends it
	done    chan struct{}           // closed when the last hedged try has ended, nil before the first
	spent   *exchange               // of the last hedged try that has ended without the answer
	failed  any                     // with which a hedged try has panicked
}

// startHedge returns the context of a try that stands for a number of runs, and the hedge
// that begins other tries once its target has been silent for the timeout.
func (x *exchange) startHedge(ctx context.Context, timeout time.Duration, runs int) (bounded context.Context, h *hedge) {
	x.heardNow()
	x.identity() // A hedged try reads it.
	bounded, end := context.WithCancelCause(ctx)
	h = &hedge{exchange: x, ctx: ctx, end: end, pending: runs, runs: x.runs + runs, unsent: x.unsent}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(timeout, h.begin)
	return bounded, h
}

// begin runs a hedged try if the try waits and another one is allowed.
func (h *hedge) begin() {
	y, ctx := h.prepare()
	if y == nil {
		return
	}
	defer h.ended(y)
	defer func() {
		if failure := recover(); failure != nil {
			h.noteFailure(failure)
		}
	}()
	result := mayHaveRun
	if y.begun {
		result = broken
	}
	y.tryTargets(ctx, result)
}

// prepare returns the exchange of a hedged try, nil if none may begin now.
func (h *hedge) prepare() (y *exchange, ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != tryWaits || h.ctx.Err() != nil {
		return nil, nil
	}
	if y = h.fork(); !y.couldRepeat() || (y.begun && !y.mayContinue()) {
		return nil, nil
	}
	if h.running() || !h.exchange.ownsAnswer() {
		h.timer.Reset(hedgeAgain)
		return nil, nil
	}
	if h.spent == nil {
		x := h.exchange
		x.server.Metrics.Count("hedges")
		x.server.Log.Info("target is silent; another one is looked for beside it", "request", x.id, "target", x.target, "after", time.Since(x.arrived), "last_event", x.last)
	}
	h.beside, h.done = y, make(chan struct{})
	ctx, h.cancel = context.WithCancelCause(h.ctx)
	return y, ctx
}

// running reports whether a hedged try hasn't ended yet.
func (h *hedge) running() bool {
	if h.done == nil {
		return false
	}
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// fork returns the exchange of a hedged try: a copy that counts all tries so far.
func (h *hedge) fork() *exchange {
	y := *h.exchange
	y.behind, y.progress, y.excluded, y.outOfUse = h, answerProgress{}, slices.Clone(y.excluded), slices.Clone(y.outOfUse)
	y.runs += h.pending
	if h.spent != nil {
		y.takeTries(h.spent)
	}
	if vm, forwarded := strings.CutPrefix(y.target, vmPrefix); forwarded {
		y.silentVM = vm
	}
	return &y
}

// takeTries adds the tries of a hedged exchange to those of the one it was copied from.
func (x *exchange) takeTries(spent *exchange) {
	x.tries, x.unsent, x.runs, x.excluded = spent.tries, spent.unsent, max(x.runs, spent.runs), spent.excluded
	if x.failure == nil {
		x.failure = spent.failure
	}
}

// ended records the end of a hedged try.
func (h *hedge) ended(y *exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != tryOvertaken {
		h.spent, h.beside = y, nil
	}
	if h.state == tryWaits {
		h.timer.Reset(hedgeAgain)
	}
	h.cancel(nil)
	close(h.done)
}

func (h *hedge) noteFailure(failure any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = failure
}

// wait tells that the try waits for its target again. If it is silent for the timeout,
// another one is tried beside it.
func (h *hedge) wait(timeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != tryDelivers {
		return
	}
	h.state = tryWaits
	h.timer.Reset(timeout)
}

// goOn tells that the try's target has sent a part of the answer, and ends a hedged
// try. It returns false if that one has the answer already.
func (h *hedge) goOn() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == tryOvertaken {
		return false
	}
	h.state, h.pending = tryDelivers, 0
	h.timer.Stop()
	if h.beside != nil {
		h.exchange.server.Metrics.Count("hedges.not_needed")
		h.beside = nil
		h.cancel(errNotNeeded)
	}
	return true
}

// leave tells that the try ends without an answer. A hedged try that runs goes on.
func (h *hedge) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != tryOvertaken {
		h.state = tryEnds
	}
	h.timer.Stop()
}

// finish ends the hedge after its try has ended. If the try has not answered the caller,
// a hedged try that runs may do so. It returns the outcome of both.
func (h *hedge) finish(result outcome) outcome {
	if result != delivered {
		h.leave()
		h.join()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer.Stop()
	h.end(nil)
	x := h.exchange
	switch {
	case h.failed != nil:
		panic(h.failed)
	case h.state == tryOvertaken:
		x.ended, x.abandoned = h.beside.ended, h.beside.abandoned
		return delivered
	case result == delivered || h.spent == nil:
		return result
	}
	return h.takeSpent(result)
}

// takeSpent adds the tries of the hedged tries to those of the exchange, which has those
// that were refused to spare. It returns the outcome of all.
func (h *hedge) takeSpent(result outcome) outcome {
	x := h.exchange
	runs, unsent := x.runs, x.unsent-h.unsent
	beside := h.spent.tries - x.tries
	x.spared += beside - min(beside, h.spent.runs-h.runs)
	if result == notRun {
		h.spent.runs -= h.pending
	}
	x.takeTries(h.spent)
	x.unsent += unsent
	if result == notRun && x.runs > runs {
		return mayHaveRun
	}
	return result
}

// join waits for the end of a hedged try.
func (h *hedge) join() {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done != nil {
		<-done
	}
}

// claim gives a hedged try the right to answer the caller, and ends the silent try. It
// returns false if that one goes on.
func (h *hedge) claim(y *exchange) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.beside != y {
		return false
	}
	switch h.state {
	case tryOvertaken:
		return true
	case tryWaits, tryEnds:
		h.state = tryOvertaken
		h.timer.Stop()
		h.end(errOvertaken)
		y.server.Metrics.Count("hedges.won")
		y.server.Log.Info("another target has the answer of a silent one", "request", y.id, "target", y.target, "silent", h.exchange.target, "last_event", y.last)
		return true
	default:
		return false
	}
}

// owns reports whether a hedged try has the right to answer the caller. If not, it
// doesn't get it any more.
func (h *hedge) owns(y *exchange, last bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == tryOvertaken {
		return h.beside == y
	}
	if last && h.beside == y {
		h.beside = nil
	}
	return false
}

// ownsAnswer reports whether the exchange may answer the caller.
func (x *exchange) ownsAnswer() bool {
	return x.behind == nil || x.behind.owns(x, false)
}

// releaseAnswer reports whether the exchange, which has no further try, may answer the
// caller. If it may not, the try that it runs beside may.
func (x *exchange) releaseAnswer() bool {
	return x.behind == nil || x.behind.owns(x, true)
}

// claimAnswer takes the right to answer the caller, as a part of the answer is there. It
// returns false if another try has it.
func (x *exchange) claimAnswer() bool {
	return x.behind == nil || x.behind.claim(x)
}
