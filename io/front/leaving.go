package front

import (
	"strings"
	"time"

	"kingcuprill/io/upstream"
)

// noteLeaving takes a target out of use that says in the head of an answer that it leaves.
// Its heartbeats may say so later.
func (x *exchange) noteLeaving(reserved reservation, target string, response *upstream.Response) {
	s, now := x.server, time.Now()
	if strings.TrimSpace(response.Header.Get(s.Headers.Leaving)) != "1" {
		return
	}
	if !s.Placer.MarkLeaving(target, now) {
		return
	}
	reserved.ObserveLeaving(now)
	s.Log.Info("target says that it leaves; it gets no more requests", "request", x.id, "target", target)
}
