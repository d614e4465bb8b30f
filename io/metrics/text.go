package metrics

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// maxNames bounds the counters and timers that are made as they are needed.
const maxNames = 256

// overflow counts what came after the bound was reached.
const overflow = "other"

// Count adds one to a counter, which is made at its first use.
func (m *Metrics) Count(name string) {
	if m.Registry.Get(name) == nil && m.names.Add(1) > maxNames {
		name = overflow
	}
	gometrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
}

// Observe adds a time to a histogram, which is made at its first use.
func (m *Metrics) Observe(name string, took time.Duration) {
	if m.Registry.Get(name) == nil && m.names.Add(1) > maxNames {
		name = overflow + "_time"
	}
	gometrics.GetOrRegisterTimer(name, m.Registry).Update(took)
}

// Text serves all metrics as lines of a name and a number. Times are in
// milliseconds.
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
		// A reader that has gone has nothing to be told.
		_, _ = io.WriteString(w, line)
	}
}
