// Package front is the reverse proxy of an entry VM for plain HTTP routes. It
// finds the route and the organisation of a request, checks key and rate limit,
// sends the request to a target of this region or forwards it to an entry VM of
// another region, and delivers the answer.
//
// A request that may have run is sent to another target only if its route
// allows it. Retries are bounded by the route's attempts and by a retry budget
// for each service. Answers other than streams are delivered whole. A stream
// can be resumed at another target after its last whole event. If a request is
// refused and certainly has not run, its tokens are refunded.
package front

import (
	"errors"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kingcuprill/core/place"
	"kingcuprill/core/units"
)

// Headers are the names of the HTTP headers that callers, targets and this system
// exchange. A header with an empty name is not used.
type Headers struct {
	RequestID    string   // id of one try of a caller; the target echoes it
	TimeLeft     string   // milliseconds that the caller still waits
	Organisation string   // set for targets
	Target       string   // id of the target that is addressed
	NotRun       string   // set by a target that has not run the request
	Limit        string   // requests per second that a target takes from all VMs, set by it
	Leaving      string   // "1" in the answers of a target that leaves
	Brittle      string   // requests per second that a target may refuse before it fails, set by it
	Tokens       string   // prompt tokens and maximum output tokens, separated by a comma
	Model        string   // model that the request is for
	Parts        string   // parts of the prompt as id:tokens, separated by commas
	LastEvent    string   // id of the last event that the caller has received
	Resumes      string   // id of the request that began the stream which the caller takes up
	FetchFrom    string   // address of a target that has read the shared parts of the prompt
	OutputHint   string   // expected output tokens
	Rank         string   // priority of the request at an engine, 0 is the most urgent
	Own          []string // further headers that only this system may set; removed from requests of callers
}

// keyHeader carries the caller's key.
const keyHeader = "Authorization"

// hopPrefix begins the names of all headers that only entry VMs send each other, those of
// later builds too.
const hopPrefix = "Kc-Hop-"

// Headers of requests that entry VMs forward, and of the answers to them.
const (
	hopFrom   = "Kc-Hop-From"
	hopRuns   = "Kc-Hop-Runs" // number of the route's attempts that the receiver may use
	hopNotRun = "Kc-Hop-Not-Run"
	hopTrial  = "Kc-Hop-Trial" // the receiver runs the request as a trial
	// hopVersion is the version of the targets that have begun the answer, and hopService the
	// service that the sender has chosen. Answers carry the version, too.
	hopVersion = "Kc-Hop-Version"
	hopService = "Kc-Hop-Service"
	// hopRevision is the revision of the configuration that the sender goes by. A receiver
	// with an older one refuses the request.
	hopRevision = "Kc-Hop-Revision"
	// hopPredicted is the time, predicted by the receiver, until the answer begins, in
	// milliseconds. Answers and refusals carry it.
	hopPredicted = "Kc-Hop-Predicted"
)

var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// deleteHops deletes the headers that only entry VMs send each other.
func deleteHops(header http.Header) {
	maps.DeleteFunc(header, func(name string, _ []string) bool { return strings.HasPrefix(name, hopPrefix) })
}

// endToEnd returns a copy of the headers without the hop-by-hop ones.
func endToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from)+4)
	named := map[string]bool{}
	for _, value := range from["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopByHop[name] && !named[name] {
			to[name] = values
		}
	}
	return to
}

// demand reads the size of a request to a model engine, in tokens. Missing or
// malformed headers count as 0 tokens and no parts.
func (h Headers) demand(header http.Header) (d place.Demand) {
	prompt, output, found := strings.Cut(header.Get(h.Tokens), ",")
	if !found {
		return d
	}
	d.Prompt, _ = tokens(prompt)
	d.Output, _ = tokens(output)
	d.Expected = d.Output
	if hint, err := strconv.Atoi(header.Get(h.OutputHint)); err == nil && hint > 0 {
		d.Expected = min(hint, d.Output)
	}
	for entry := range strings.SplitSeq(header.Get(h.Parts), ",") {
		id, size, found := strings.Cut(strings.TrimSpace(entry), ":")
		count, valid := tokens(size)
		if !found || !valid {
			break
		}
		d.Parts = append(d.Parts, place.Part{ID: id, Tokens: count})
	}
	return d
}

// maxTokens bounds a number of tokens in a header, so that sums of them don't overflow.
const maxTokens = 1 << 31

// tokens parses a number of tokens. One above maxTokens counts as maxTokens; valid is
// false for text that isn't a whole number from 0 on.
func tokens(text string) (count int, valid bool) {
	count, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil && !errors.Is(err, strconv.ErrRange) || count < 0 {
		return 0, false
	}
	return min(count, maxTokens), true
}

// timeLeft returns how long the caller still waits, at most longest. A missing or
// malformed header counts as longest.
func (h Headers) timeLeft(header http.Header, longest time.Duration) time.Duration {
	milliseconds, err := strconv.ParseFloat(header.Get(h.TimeLeft), 64)
	if err != nil || !(milliseconds >= 0) {
		return longest
	}
	return min(longest, units.Milliseconds(milliseconds))
}
