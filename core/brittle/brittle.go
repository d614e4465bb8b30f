// Package brittle keeps the requests that a target refuses below the number per second at
// which it fails. A target in need names that number in its answers.
//
// A brittle target may let fewer requests wait than before. So none waits there, and
// after a few refusals it gets no requests until they are a second ago.
package brittle

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// window is the time over which a target counts the requests that it refuses.
	window = time.Second
	// refusedShare is the part of the refusals that a target survives after which it gets
	// no requests for a while. As many may be on their way to it.
	refusedShare = 0.5
	// shrinkFactor is applied to the requests in flight at a refusal to get how many the
	// target may have, and growTime is how long it takes to get back to its slots.
	shrinkFactor = 0.8
	growTime     = 5 * time.Second
	// longestValue is how much of a value that can't be read is shown, in bytes.
	longestValue = 40
)

// Notice is what an answer says about the refusals that its target survives.
type Notice struct {
	Named bool
	Most  int // requests that the target may refuse per second, for want of room, before it fails
}

// Parse reads the values of the header that names them. The smallest of several counts.
func Parse(values []string) (n Notice, err error) {
	for _, value := range values {
		most, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(most) || most < 0 {
			return Notice{}, fmt.Errorf("number of refusals %q is not a number from 0 on", value[:min(len(value), longestValue)])
		}
		next := int(min(most, math.MaxInt32))
		if !n.Named || next < n.Most {
			n = Notice{Named: true, Most: next}
		}
	}
	return n, nil
}

// State is what is known of one target. The zero value is a target that isn't brittle.
// It is not safe for concurrent use.
type State struct {
	Notice
	newest   time.Time   // when the request was sent whose answer has named a number last
	refusals []time.Time // within window
	bound    float64     // requests in flight that it may have, from its last refusal on
	shrunk   time.Time   // its last refusal
}

// Observe records what the answer to a request that was sent at a time says. It reports
// whether that is something new.
func (s *State) Observe(n Notice, sent time.Time) (changed bool) {
	if sent.Before(s.newest) {
		return false
	}
	changed = s.Notice != n
	s.Notice = n
	if n.Named {
		s.newest = sent
	}
	return changed
}

// Refused records that the target has refused a request while others were in flight.
func (s *State) Refused(inFlight int, now time.Time) {
	s.expire(now)
	s.refusals = append(s.refusals, now)
	s.bound, s.shrunk = shrinkFactor*float64(inFlight), now
}

func (s *State) expire(now time.Time) {
	s.refusals = slices.DeleteFunc(s.refusals, func(at time.Time) bool { return now.Sub(at) >= window })
}

// Room returns how many requests the target may have in flight, of its slots.
func (s *State) Room(slots int, now time.Time) int {
	s.expire(now)
	if len(s.refusals) >= max(1, int(refusedShare*float64(s.Most))) {
		return 0
	}
	room := float64(slots)
	if since := now.Sub(s.shrunk); !s.shrunk.IsZero() && since < growTime {
		room = min(room, s.bound+(room-s.bound)*since.Seconds()/growTime.Seconds())
	}
	return max(1, int(room))
}
