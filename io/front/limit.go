package front

import (
	"net/http"
	"time"

	"kingcuprill/core/targetlimit"
	"kingcuprill/io/upstream"
)

// noteHead records what the head of an answer says about its target.
func (x *exchange) noteHead(reserved reservation, response *upstream.Response, sent time.Time) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return // of another target
	}
	target, _ := reserved.Where()
	x.noteLimit(reserved, target, response, sent)
	x.noteBrittle(reserved, target, response, sent)
	x.noteLeaving(reserved, target, response)
	x.notePause(target, response)
}

// noteLimit records the limit that the head of an answer names, or that it names none,
// here and at the target's coordinator.
func (x *exchange) noteLimit(reserved reservation, target string, response *upstream.Response, sent time.Time) {
	s, now := x.server, time.Now()
	n, err := targetlimit.Parse(response.Header.Values(s.Headers.Limit))
	if err != nil {
		s.Log.Warn("target names a limit that can't be read; it is ignored", "request", x.id, "target", target, "error", err)
		return
	}
	ran := response.Header.Get(s.Headers.NotRun) == ""
	if !n.Named && (!ran || !s.Placer.IsLimited(target)) {
		return
	}
	changed := s.Placer.ObserveLimit(target, n, sent, now)
	reserved.ObserveLimit(n, now)
	if changed {
		s.Log.Info("limit of a target has changed", "request", x.id, "target", target, "named", n.Named, "requests_per_second", n.Rate)
	}
}
