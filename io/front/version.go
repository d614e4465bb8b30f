package front

import (
	"context"
	"net/http"
	"time"

	"kingcuprill/core/plan"
	"kingcuprill/core/streamversion"
	"kingcuprill/io/upstream"
)

// streamOrigin is the version of the targets at which the answer to a request has begun.
// All of its events must come from that version.
type streamOrigin struct {
	streamversion.Version
	known    bool
	id       string    // of the request that began the stream, which callers name when they take it up
	recorded time.Time // last time that the version was recorded
	// otherService is set if the VM that forwards the request has chosen another service.
	// It must not take the version for one of that service.
	otherService bool
}

// takeUp finds the version of a stream that the caller takes up again. The request is
// refused if it isn't known: another version may write something else.
func (x *exchange) takeUp(ctx context.Context) *refusal {
	x.origin.id = x.id
	if x.from != "" {
		x.takeService()
	}
	if x.route.Kind != plan.Stream {
		return nil
	}
	if x.from != "" {
		return x.takeUpForwarded()
	}
	if x.header.Get(x.server.Headers.LastEvent) == "" {
		return nil
	}
	x.origin.id = x.header.Get(x.server.Headers.Resumes)
	unknown := &refusal{status: http.StatusServiceUnavailable, reason: "stream_version_unknown", notRun: true}
	if x.server.Streams == nil {
		return unknown
	}
	version, found := x.server.Streams.Find(ctx, x.origin.id, x.route.Choose(x.origin.id))
	if !found || !x.route.LeadsTo(version.Service) {
		x.server.Log.Warn("stream can't be taken up, as the version that began it is not known", "request", x.id, "begun_by", x.origin.id, "service", x.service, "begun_at", version.Service)
		return unknown
	}
	x.origin.Version, x.origin.known = version, true
	x.service = version.Service
	x.record(time.Now())
	x.server.Log.Info("caller takes up a stream", "request", x.id, "begun_by", x.origin.id, "service", version.Service, "version", version.Version)
	return nil
}

// takeService takes the service that the entry VM has chosen which forwards the request. A VM
// with another plan may not let the route lead there.
func (x *exchange) takeService() {
	service := x.header.Get(hopService)
	x.origin.otherService = service != "" && !x.route.LeadsTo(service)
	if service != "" && !x.origin.otherService {
		x.service = service
	}
}

// takeUpForwarded takes the version of a stream from the entry VM that forwards the
// request.
func (x *exchange) takeUpForwarded() *refusal {
	versions, known := x.header[hopVersion]
	if !known && x.header.Get(x.server.Headers.LastEvent) != "" {
		return &refusal{status: http.StatusServiceUnavailable, reason: "stream_version_unknown", notRun: true}
	}
	if !known {
		return nil
	}
	if service := x.header.Get(hopService); x.service != service {
		return &refusal{status: http.StatusServiceUnavailable, reason: "stream_service_unknown", notRun: true}
	}
	x.origin.Version, x.origin.known = streamversion.Version{Service: x.service, Version: versions[0]}, true
	return nil
}

// begin fixes the version of the stream, as its first event is about to reach the caller.
func (x *exchange) begin() {
	if x.origin.known || x.answering == nil {
		return
	}
	x.origin.Version, x.origin.known = *x.answering, true
	x.record(time.Now())
}

// record remembers the version of a stream that the caller may take up again, from now on
// for as long as records are kept.
func (x *exchange) record(now time.Time) {
	if x.from != "" || !x.route.Resumable || !x.origin.known || x.origin.id == "" || x.server.Streams == nil {
		return
	}
	x.origin.recorded = now
	x.server.Streams.Record(x.origin.id, x.origin.Version)
}

// keepRecord records a long stream again before its record is forgotten.
func (x *exchange) keepRecord(now time.Time) {
	if now.Sub(x.origin.recorded) > streamversion.Retention/2 {
		x.record(now)
	}
}

// mayContinue reports whether a begun answer can go on at another target.
func (x *exchange) mayContinue() bool {
	return x.hasLast && x.origin.known
}

// addOrigin adds the service, and the version of a begun stream, to a request that is
// forwarded.
func (x *exchange) addOrigin(header http.Header) {
	header[hopService] = []string{x.service}
	if x.origin.known {
		header[hopVersion] = []string{x.origin.Version.Version}
	}
}

// answeringVersion returns the version of the target that answers at another entry VM,
// nil if that VM doesn't say.
func (x *exchange) answeringVersion(response *upstream.Response) *streamversion.Version {
	versions, known := response.Header[hopVersion]
	if !known {
		return nil
	}
	return &streamversion.Version{Service: x.service, Version: versions[0]}
}

// setOrigin tells an entry VM that has forwarded the request the version of the answer.
// Callers don't get it.
func (x *exchange) setOrigin(header http.Header) {
	if x.from != "" && x.origin.known && !x.origin.otherService {
		header[hopVersion] = []string{x.origin.Version.Version}
	}
}
