package front

import (
	"net/http"
	"time"

	"kingcuprill/core/targetlimit"
)

// noteLimit records the limit that the head of an answer names, or that it names none.
func (x *exchange) noteLimit(target string, header http.Header, sent time.Time) {
	s := x.server
	n, err := targetlimit.Parse(header.Values(s.Headers.Limit))
	if err != nil {
		s.Log.Warn("target names a limit that can't be read; it is ignored", "request", x.id, "target", target, "error", err)
		return
	}
	if s.Placer.ObserveLimit(target, n, sent, time.Now()) {
		s.Log.Info("limit of a target has changed", "request", x.id, "target", target, "named", n.Named, "requests_per_second", n.Rate)
	}
}
