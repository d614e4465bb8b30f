// Package metrics counts what a daemon does, with rcrowley/go-metrics.
package metrics

import (
	"net/http"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

// Metrics are the counters and timers of one daemon.
type Metrics struct {
	Registry gometrics.Registry
	Requests gometrics.Counter
	Refused  gometrics.Counter
	Limited  gometrics.Counter // refused for the organisation's rate
	Failed   gometrics.Counter
	Retries  gometrics.Counter
	Away     gometrics.Counter // sent to another region
	Admitted gometrics.Counter // tokens, net of refunds
	Answer   gometrics.Timer
	First    gometrics.Timer // to the first token

	names atomic.Int64 // made as they were needed
}

// New returns metrics in a registry of their own.
func New() *Metrics {
	registry := gometrics.NewRegistry()
	return &Metrics{
		Registry: registry,
		Requests: gometrics.NewRegisteredCounter("requests", registry),
		Refused:  gometrics.NewRegisteredCounter("refused", registry),
		Limited:  gometrics.NewRegisteredCounter("limited", registry),
		Failed:   gometrics.NewRegisteredCounter("failed", registry),
		Retries:  gometrics.NewRegisteredCounter("retries", registry),
		Away:     gometrics.NewRegisteredCounter("away", registry),
		Admitted: gometrics.NewRegisteredCounter("admitted_tokens", registry),
		Answer:   gometrics.NewRegisteredTimer("answer", registry),
		First:    gometrics.NewRegisteredTimer("first_token", registry),
	}
}

// Gauge adds a value that is read when the metrics are written.
func (m *Metrics) Gauge(name string, read func() int64) {
	gometrics.NewRegisteredFunctionalGauge(name, m.Registry, read)
}

// ServeHTTP writes all metrics as JSON.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	gometrics.WriteJSONOnce(m.Registry, w)
}
