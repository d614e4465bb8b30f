package dispatch

import (
	"net/http"
	"time"

	"kingcuprill/core/target"
	"kingcuprill/core/targetlimit"
)

// noteLimit records the limit that the head of a target's answer names, or that it
// names none.
func (r *run) noteLimit(t *target.Target, header http.Header, sent time.Time) {
	n, err := targetlimit.Parse(header.Values(targetlimit.Header))
	if err != nil {
		r.d.Log.Warn("target names a limit that can't be read; it is ignored", "request_id", r.request.ID, "target", t.ID, "error", err)
		return
	}
	if t.Live.Limit.Observe(n, sent, time.Now()) {
		r.d.Log.Info("limit of a target has changed", "request_id", r.request.ID, "target", t.ID, "named", n.Named, "requests_per_second", n.Rate)
	}
}

// localVMs returns the ids of the VMs that send to the targets of this data centre.
func (r *run) localVMs() (ids []string) {
	members := r.d.VMState.Members.View.Read()
	for _, m := range members.UsableIn(r.d.VMState.DataCentre) {
		ids = append(ids, m.ID)
	}
	return ids
}
