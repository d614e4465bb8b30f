// Package targetlimit keeps the requests to a target within the number for each second
// that the target names in its answers.
//
// A limit holds as long as answers name it. Answers come out of order, so one without a
// limit ends it only if its request was sent after an answer that named one. A target
// that isn't asked any more keeps its limit.
package targetlimit

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"kingcuprill/core/units"
)

// Header is the name of the header in which the targets of the daemons name their
// limit.
const Header = "Kingcuprill-Request-Limit"

const (
	// highest is the highest limit that is taken as one, in requests per second.
	highest = 1e6
	// lowest is the rate, in requests per second, at which a target that names a lower
	// limit is still asked, to learn when that ends.
	lowest = 0.1
	// burst is how long a limit may be saved up, beside one request.
	burst = time.Second
)

// Notice is what an answer says about the limit of its target.
type Notice struct {
	Named bool
	Rate  float64 // requests per second, if it names one
}

var errRepeated = errors.New("it is given more than once")

// Parse reads the values of the header that names a limit. No value is a notice without
// a limit.
func Parse(values []string) (n Notice, err error) {
	if len(values) == 0 {
		return n, nil
	}
	if len(values) > 1 {
		return n, errRepeated
	}
	text := strings.TrimSpace(values[0])
	if strings.Trim(text, "0123456789.") != "" {
		return n, fmt.Errorf("%q is not a decimal number", shortened(text))
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate > highest {
		return n, fmt.Errorf("%q is not a number of requests per second from 0 to %g", shortened(text), float64(highest))
	}
	return Notice{Named: true, Rate: rate}, nil
}

func shortened(text string) string {
	const most = 40 // bytes
	return text[:min(len(text), most)]
}

// Limit is the limit of one target. The zero value is a target that has named none. It
// is not safe for concurrent use.
type Limit struct {
	Notice
	// Share is the part of the limit that may be used, 0 for all of it.
	Share float64

	newest time.Time // when the newest answer that counts has come
	named  time.Time // when the newest answer with a limit has come
	saved  float64   // requests that may be sent at once
	filled time.Time
}

// Observe records what an answer says that came at a time, and whose request was sent at
// another. It reports whether the limit is another one now.
func (l *Limit) Observe(n Notice, sent, at time.Time) (changed bool) {
	if at.Before(l.newest) || (!n.Named && (!l.Named || sent.Before(l.named))) {
		return false
	}
	l.fill(at)
	changed = l.Notice != n
	l.Notice, l.newest = n, at
	if n.Named {
		l.named = at
	}
	return changed
}

// Newest returns when the newest answer that counts has come.
func (l *Limit) Newest() time.Time {
	return l.newest
}

func (l *Limit) rate() float64 {
	if l.Share > 0 {
		return l.Share * max(lowest, l.Rate)
	}
	return max(lowest, l.Rate)
}

func (l *Limit) fill(now time.Time) {
	if !l.Named || l.filled.IsZero() {
		l.saved, l.filled = 0, now
		return
	}
	if gained := now.Sub(l.filled).Seconds(); gained > 0 {
		l.saved = min(l.saved+gained*l.rate(), l.depth())
		l.filled = now
	}
}

// Wait returns how long the next request has to wait, 0 if it may be sent now.
func (l *Limit) Wait(now time.Time) time.Duration {
	if !l.Named {
		return 0
	}
	l.fill(now)
	if l.saved >= 1 {
		return 0
	}
	return units.Seconds((1 - l.saved) / l.rate())
}

// Saved returns the part of the requests that can be saved up that is, from 0 to 1.
func (l *Limit) Saved(now time.Time) float64 {
	l.fill(now)
	return l.saved / l.depth()
}

func (l *Limit) depth() float64 {
	return 1 + burst.Seconds()*l.rate()
}

// Take records that a request is sent.
func (l *Limit) Take(now time.Time) {
	if !l.Named {
		return
	}
	l.fill(now)
	l.saved--
}
