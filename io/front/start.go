package front

import (
	"errors"
	"time"

	"kingcuprill/core/plan"
	"kingcuprill/io/upstream"
)

// Starts is how a target is asked which of its starts answers.
type Starts struct {
	URI string
	// Read returns the start that an answer names, above 0 and later for a later one.
	Read func(answer []byte) (start int64, known bool)
}

const (
	// restStartWait is how long a target may take to say which start it is before the rest
	// of a stream. Another target can take it then.
	restStartWait = 400 * time.Millisecond
	// beginStartWait is the same before a new stream, which then begins without it and can't
	// be taken up.
	beginStartWait = 100 * time.Millisecond
)

// startOf returns the start of the target that the request is for: that whose registration
// names the version. A target that has started anew under its id and address may have another
// version. The rest of a begun stream goes to no other start, and nowhere if none is known. A
// new stream that can be taken up goes to any, but its version is only known at that one. start
// is nil for other requests.
func (x *exchange) startOf(reserved reservation) (start *upstream.Start, known bool) {
	s := x.server
	if s.Starts == nil || !x.origin.known && !x.mayGoOn() {
		return nil, true
	}
	target, _ := reserved.Where()
	version := x.origin.Version.Version
	if !x.origin.known {
		version = reserved.Version()
	}
	born, known := s.Placer.Start(target, version)
	if !known {
		x.answering = nil
		s.Metrics.Count("starts.unknown")
		return nil, !x.origin.known
	}
	start = &upstream.Start{
		URI: s.Starts.URI, Header: map[string][]string{s.Headers.Target: {target}}, Read: s.Starts.Read, Want: born,
		Within: restStartWait, Asked: func() { s.Metrics.Count("starts.asked") },
	}
	if !x.origin.known {
		start.Any, start.Within = true, beginStartWait
	}
	return start, true
}

// mayGoOn reports whether the answer is a stream that may go on at another target.
func (x *exchange) mayGoOn() bool {
	return x.route.Kind == plan.Stream && x.route.Resumable
}

// confirmed reports whether the start that has answered is the one whose version is known.
func (x *exchange) confirmed(response *upstream.Response) bool {
	return x.start == nil || response.Start == x.start.Want
}

// noteStart takes a target out of use for begun streams that has started anew since its
// registration.
func (x *exchange) noteStart(target string, response *upstream.Response, err error) {
	s, start := x.server, x.start
	if start == nil || err == nil && x.confirmed(response) {
		return
	}
	switch {
	case errors.Is(err, upstream.ErrLaterStart), err == nil && response.Start > start.Want:
		s.Metrics.Count("starts.later")
		s.Log.Info("target has started anew since its registration", "request", x.id, "target", target, "registered", start.Want)
		s.Placer.MarkRestarted(target, start.Want)
	case errors.Is(err, upstream.ErrStartUnknown), err == nil:
		s.Metrics.Count("starts.unknown")
	}
}
