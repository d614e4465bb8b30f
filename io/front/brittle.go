package front

import (
	"time"

	"kingcuprill/core/brittle"
	"kingcuprill/io/upstream"
)

// noteBrittle records what the head of an answer says about the refusals that its target
// survives, here and at the target's coordinator.
func (x *exchange) noteBrittle(reserved reservation, target string, response *upstream.Response, sent time.Time) {
	s := x.server
	n, err := brittle.Parse(response.Header.Values(s.Headers.Brittle))
	if err != nil {
		if s.unreadable.first(target) {
			s.Log.Warn("target names a number of refusals that can't be read; it is ignored", "request", x.id, "target", target, "error", err)
		}
		return
	}
	if !n.Named && !s.Placer.IsBrittle(target) {
		return
	}
	if s.Placer.ObserveBrittle(target, n, sent) {
		s.Log.Info("refusals that a target survives have changed", "request", x.id, "target", target, "named", n.Named, "per_second", n.Most)
	}
	reserved.ObserveBrittle(n, time.Now())
}
