// Package metrics holds the counters, gauges and timers of one VM's process, and
// serves them as JSON or as text. It uses rcrowley/go-metrics.
package metrics

import (
	"net/http"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

// Metrics holds the metrics of one process. It is safe for concurrent use.
type Metrics struct {
	Registry       gometrics.Registry
	Requests       gometrics.Counter
	Refused        gometrics.Counter
	RateLimited    gometrics.Counter // requests refused by the organisation's rate limit
	Failed         gometrics.Counter // requests that failed without an error of the caller
	Retries        gometrics.Counter
	Away           gometrics.Counter // requests sent to another region
	AdmittedTokens gometrics.Counter // tokens, net of refunds
	Answer         gometrics.Timer   // until the answer is complete
	FirstToken     gometrics.Timer   // until the first token

	dynamicNames atomic.Int64 // number of counters and timers created at their first use
}

// New returns metrics that are registered in a new registry.
func New() *Metrics {
	registry := gometrics.NewRegistry()
	return &Metrics{
		Registry:       registry,
		Requests:       gometrics.NewRegisteredCounter("requests", registry),
		Refused:        gometrics.NewRegisteredCounter("refused", registry),
		RateLimited:    gometrics.NewRegisteredCounter("limited", registry),
		Failed:         gometrics.NewRegisteredCounter("failed", registry),
		Retries:        gometrics.NewRegisteredCounter("retries", registry),
		Away:           gometrics.NewRegisteredCounter("away", registry),
		AdmittedTokens: gometrics.NewRegisteredCounter("admitted_tokens", registry),
		Answer:         gometrics.NewRegisteredTimer("answer", registry),
		FirstToken:     gometrics.NewRegisteredTimer("first_token", registry),
	}
}

// Gauge adds a gauge; read is called each time the metrics are served.
func (m *Metrics) Gauge(name string, read func() int64) {
	gometrics.NewRegisteredFunctionalGauge(name, m.Registry, read)
}

// ServeHTTP serves all metrics as JSON. Times are in nanoseconds.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	gometrics.WriteJSONOnce(m.Registry, w)
}
