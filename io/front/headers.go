// Package front serves plain HTTP routes: it finds the route and the
// organisation of a request, admits it, sends it to a target of this region or
// hands it to an entry VM of another one, and delivers the answer whole.
package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"kingcuprill/core/place"
)

// Headers are the names of the headers that callers, targets and this system
// use. Empty names are not used.
type Headers struct {
	RequestID    string // of one try of a caller; the target repeats it
	TimeLeft     string // milliseconds that the caller goes on waiting
	Organisation string // set for targets
	Target       string // id of the target that is meant
	NotRun       string // set by a target that has not run the request
	Tokens       string // prompt tokens and most output tokens
	Parts        string // parts of the prompt
	LastEvent    string
	FetchFrom    string   // address of a target that has read the shared parts of the prompt
	OutputHint   string   // estimate of the output tokens
	Own          []string // further ones that only this system may set; dropped from callers
}

// keyHeader carries the key of a caller.
const keyHeader = "Authorization"

// Headers of the calls between entry VMs.
const (
	hopFrom   = "Kc-Hop-From"
	hopRuns   = "Kc-Hop-Runs" // runs that are left of the route's attempts
	hopNotRun = "Kc-Hop-Not-Run"
)

var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// endToEnd copies the headers that concern more than one connection.
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

// demand reads what a request asks of a model engine. Callers may leave the
// headers out or write nonsense; the request is then taken to ask nothing.
func (h Headers) demand(header http.Header) (d place.Demand) {
	prompt, output, found := strings.Cut(header.Get(h.Tokens), ",")
	if !found {
		return d
	}
	d.Prompt, _ = strconv.Atoi(strings.TrimSpace(prompt))
	d.Output, _ = strconv.Atoi(strings.TrimSpace(output))
	d.Prompt, d.Output = max(0, d.Prompt), max(0, d.Output)
	d.Expected = d.Output
	if hint, err := strconv.Atoi(header.Get(h.OutputHint)); err == nil && hint > 0 {
		d.Expected = min(hint, d.Output)
	}
	for entry := range strings.SplitSeq(header.Get(h.Parts), ",") {
		id, size, found := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := strconv.Atoi(size)
		if !found || err != nil || tokens < 0 {
			break
		}
		d.Parts = append(d.Parts, place.Part{ID: id, Tokens: tokens})
	}
	return d
}

// timeLeft returns how long the caller goes on waiting, or the longest time
// where it doesn't say.
func (h Headers) timeLeft(header http.Header, longest time.Duration) time.Duration {
	milliseconds, err := strconv.ParseFloat(header.Get(h.TimeLeft), 64)
	if err != nil || milliseconds < 0 {
		return longest
	}
	return min(longest, time.Duration(milliseconds*float64(time.Millisecond)))
}
