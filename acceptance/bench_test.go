package acceptance

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kingcuprill/io/rig/client"
)

// newBenchScenario starts one VM and one service that it forwards calls to.
func newBenchScenario(b *testing.B) *scenario {
	b.Helper()
	s := newScenario(b.TempDir())
	b.Cleanup(s.close)
	steps := []func() error{
		func() error {
			_, err := startCluster(s, []string{"regions=kolkata", "control=1", "delay=0s"})
			return err
		},
		func() error { _, err := startService(s, []string{"d1", "kolkata"}); return err },
		func() error {
			_, err := runClient(s, []string{"organisation", "set", "puja", "--rate", "1000000000", "--burst", "1000000000"})
			return err
		},
		func() error {
			_, err := runClient(s, strings.Fields("route set stock --kind service --service hire-desk --repeatable --deadline 10s"))
			return err
		},
		func() error { _, err := grantKey(s, []string{"web", "puja"}); return err },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(4 * time.Second) // longer than limit.StartupDelay, during which rate limits accrue nothing
	return s
}

// BenchmarkThroughDaemon compares calls to a service through one daemon with
// direct calls, in one run.
func BenchmarkThroughDaemon(b *testing.B) {
	s := newBenchScenario(b)
	web := s.client("web")
	direct := client.New("")
	b.Run("direct", func(b *testing.B) { benchmarkCalls(b, direct, s.services["d1"].Address, "/stock/lantern") })
	b.Run("through", func(b *testing.B) { benchmarkCalls(b, web, s.cluster.VMs[0].Caller, "/services/stock/stock/lantern") })
}

// benchmarkCalls reports latency quantiles in µs and requests per second.
func benchmarkCalls(b *testing.B, c *client.Client, address, path string) {
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, 60_000_000, 3) // microseconds
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			started := time.Now()
			if _, _, err := c.Call(context.Background(), http.MethodGet, address, path, "", ""); err != nil {
				b.Error(err)
				return
			}
			mu.Lock()
			_ = latencies.RecordValue(time.Since(started).Microseconds())
			mu.Unlock()
		}
	})
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "µs-p50")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "µs-p99")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}
