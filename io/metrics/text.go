package metrics

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// maxDynamicNames bounds the number of counters and timers that are created at
// their first use.
const maxDynamicNames = 256

// overflowName is the counter for all names beyond maxDynamicNames.
const overflowName = "other"

// Count adds one to a counter, which is created at its first use.
func (m *Metrics) Count(name string) {
	if m.Registry.Get(name) == nil && m.dynamicNames.Add(1) > maxDynamicNames {
		name = overflowName
	}
	gometrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}

// Observe adds a duration to a timer, which is created at its first use.
func (m *Metrics) Observe(name string, took time.Duration) {
	if m.Registry.Get(name) == nil && m.dynamicNames.Add(1) > maxDynamicNames {
		name = overflowName + "_time"
	}
	gometrics.GetOrRegisterTimer(name, m.Registry).Update(took)
}

// Text returns a handler that serves all metrics as sorted lines of a name and a
// number. Times are in milliseconds.
func (m *Metrics) Text() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		m.write(w)
	})
}

func (m *Metrics) write(w io.Writer) {
	lines := []string{}
	add := func(name string, value float64) {
		lines = append(lines, fmt.Sprintf("%s %g\n", name, value))
	}
	m.Registry.Each(func(name string, metric any) {
		switch metric := metric.(type) {
		case gometrics.Counter:
			add(name, float64(metric.Count()))
		case gometrics.Gauge:
			add(name, float64(metric.Value()))
		case gometrics.Timer:
			snapshot := metric.Snapshot()
			add(name+"_count", float64(snapshot.Count()))
			for _, quantile := range []float64{0.5, 0.95, 0.99} {
				milliseconds := snapshot.Percentile(quantile) / float64(time.Millisecond)
				add(fmt.Sprintf("%s_ms{quantile=%q}", name, fmt.Sprint(quantile)), milliseconds)
			}
		}
	})
	slices.Sort(lines)
	for _, line := range lines {
		// A write fails only if the client has left.
		_, _ = io.WriteString(w, line)
	}
}
