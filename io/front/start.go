package front

import (
	"errors"

	"kingcuprill/core/streamversion"
	"kingcuprill/io/upstream"
)

// Starts is how a target is asked which of its starts answers.
type Starts struct {
	URI string
	// Read returns the start that an answer names, above 0 and later for a later one.
	Read func(answer []byte) (start int64, known bool)
}

// versionAt returns the version of the target's software, nil if it isn't known: the target
// has started anew since its registration.
func (x *exchange) versionAt(reserved reservation) *streamversion.Version {
	if target, _ := reserved.Where(); x.server.Placer.Restarted(target) {
		return nil
	}
	return &streamversion.Version{Service: x.service, Version: reserved.Version()}
}

// startOf returns the start of the target that may get the rest of a begun stream: that whose
// registration names the version. A target that has started anew under its id and address
// may have another one. start is nil for other requests, which go to any start.
func (x *exchange) startOf(reserved reservation) (start *upstream.Start, known bool) {
	s := x.server
	if s.Starts == nil || !x.origin.known {
		return nil, true
	}
	target, _ := reserved.Where()
	born, known := s.Placer.Start(target, x.origin.Version.Version)
	if !known {
		s.Metrics.Count("starts.unknown")
		s.Log.Warn("rest of a stream isn't sent to a target whose start is not known", "request", x.id, "target", target)
		return nil, false
	}
	return &upstream.Start{
		URI: s.Starts.URI, Header: map[string][]string{s.Headers.Target: {target}}, Read: s.Starts.Read, Want: born,
		Asked: func() { s.Metrics.Count("starts.asked") },
	}, true
}

// noteStart takes a target out of use for begun streams that has started anew since its
// registration.
func (x *exchange) noteStart(target string, start *upstream.Start, err error) {
	s := x.server
	switch {
	case errors.Is(err, upstream.ErrLaterStart):
		s.Metrics.Count("starts.later")
		s.Placer.MarkRestarted(target, start.Want)
	case errors.Is(err, upstream.ErrStartUnknown):
		s.Metrics.Count("starts.unknown")
	}
}
