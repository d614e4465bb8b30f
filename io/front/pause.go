package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"kingcuprill/core/units"
	"kingcuprill/io/upstream"
)

// notePause keeps this VM's requests from a target that has refused one and says when it
// takes others.
func (x *exchange) notePause(target string, response *upstream.Response) {
	if response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(response.Header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return
	}
	wait := units.Seconds(seconds)
	x.server.Placer.Pause(target, wait, time.Now())
	x.server.Log.Info("target has refused a request and wants none of this VM for a while", "request", x.id, "target", target, "wait", wait)
}

// unusable returns the targets that this request can't be sent to: those that it was sent
// to, and those that want no requests of this VM.
func (x *exchange) unusable(now time.Time) []string {
	paused, _ := x.server.Placer.Paused(x.service, now)
	if len(paused) == 0 {
		return x.excluded
	}
	return append(paused, x.excluded...)
}
