package backlog

import "time"

const (
	// memory is the number of tokens over which the time per token is averaged. An engine
	// reads as many in a few seconds.
	memory = 40_000.0
	// averageWeight is the number of tokens for which the average of all targets counts.
	averageWeight = 4_000.0
	// idleFactor is the multiple of the expected time from which on the time between two
	// answers counts as idle: the request that seemed to wait is lost.
	idleFactor = 5
	// minIdle is the shortest time that may count as idle.
	minIdle = 300 * time.Millisecond
)

// Speed measures how fast a target reads prompts while requests wait there.
//
// Each time an answer begins while others wait, the target has read that request's
// tokens since the answer before. The zero value has measured nothing.
type Speed struct {
	tokens float64
	time   float64   // nanoseconds
	since  time.Time // when the last answer began, zero if nothing has waited since
}

// TokenTime returns the time per prompt token. average is that of the service's targets; the
// fewer tokens were measured, the more it counts.
func (s *Speed) TokenTime(average time.Duration) time.Duration {
	total := s.time + averageWeight*float64(average)
	return time.Duration(total / (s.tokens + averageWeight))
}

// Measured returns the tokens that were measured and the time that they took.
func (s *Speed) Measured() (tokens float64, took time.Duration) {
	return s.tokens, time.Duration(s.time)
}

// began records that an answer has begun, for which the target had to read tokens. busy
// tells whether other requests wait.
func (s *Speed) began(tokens int, busy bool, now time.Time) (read float64, took time.Duration, measured bool) {
	since := s.since
	s.since = time.Time{}
	if busy {
		s.since = now
	}
	if since.IsZero() {
		return 0, 0, false
	}
	read, took = float64(tokens), now.Sub(since)
	if took > s.longest(read) {
		return 0, 0, false
	}
	s.Add(read, took)
	return read, took, true
}

// idle records that nothing waits any more.
func (s *Speed) idle() {
	s.since = time.Time{}
}

// Add adds a measurement.
func (s *Speed) Add(tokens float64, took time.Duration) {
	keep := memory / (memory + tokens)
	s.tokens = s.tokens*keep + tokens
	s.time = s.time*keep + float64(max(0, took))
}

// longest returns the longest time for some tokens that counts as reading.
func (s *Speed) longest(tokens float64) time.Duration {
	if s.tokens == 0 {
		return time.Second
	}
	return max(minIdle, time.Duration(idleFactor*tokens*s.time/s.tokens))
}
