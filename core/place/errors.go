package place

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of a new answer in the average of error answers.
	errorWeight = 0.1
	// errorHalfLife is the time in which an average without new answers halves, so
	// that a target that has recovered is used again.
	errorHalfLife = 2 * time.Second
)

// errorRate is the share of recent answers that were errors, from 0 to 1.
type errorRate struct {
	average float64
	at      time.Time
}

func (e *errorRate) observe(failed bool, now time.Time) {
	sample := 0.0
	if failed {
		sample = 1
	}
	e.average = (1-errorWeight)*e.value(now) + errorWeight*sample
	e.at = now
}

func (e *errorRate) value(now time.Time) float64 {
	if e.at.IsZero() {
		return 0
	}
	return e.average * math.Pow(0.5, max(0, now.Sub(e.at).Seconds())/errorHalfLife.Seconds())
}

// maxExcessErrors is the error rate above the average of the service from which on a
// target isn't preferred for the prompts that it has read.
const maxExcessErrors = 0.1

func (p *Placer) excessErrors(t *Target, service string, now time.Time) float64 {
	return max(0, t.errors.value(now)-p.model(service).errors.value(now))
}

// failsMore reports whether a target fails clearly more than others.
func (p *Placer) failsMore(t *Target, service string, now time.Time) bool {
	return p.excessErrors(t, service, now) > maxExcessErrors
}

// errorPenalty returns the cost added for a target that fails more of its requests
// than the targets of its service do on average: the part of the objective that a
// failed request is expected to lose.
//
// A target may fail a share of its requests at once while its health check passes.
// Such a target looks fast.
func (p *Placer) errorPenalty(t *Target, r Request) time.Duration {
	return time.Duration(p.excessErrors(t, r.Service, r.Now) * float64(r.Objective))
}

// recordAnswer updates the error rates of a target and its service.
func (p *Placer) recordAnswer(t *Target, service string, failed bool, now time.Time) {
	t.errors.observe(failed, now)
	p.model(service).errors.observe(failed, now)
}
