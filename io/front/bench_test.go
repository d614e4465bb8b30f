package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"kingcuprill/core/plan"
)

// BenchmarkCall measures one call through an entry VM, with caller and target in
// the same process.
func BenchmarkCall(b *testing.B) {
	benchmark(b, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, status(200, "Seal: x\r\n", strings.Repeat("x", 800)))
}

// BenchmarkEvent measures streams of 50 events each and reports the time for one
// event.
func BenchmarkEvent(b *testing.B) {
	const events = 50
	ids := []int{}
	for i := range events {
		ids = append(ids, i)
	}
	benchmark(b, plan.Route{Kind: plan.Stream, Attempts: 1}, stream(true, ids...))
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
}

func benchmark(b *testing.B, route plan.Route, answer func(net.Conn, *http.Request)) {
	b.Helper()
	w := newFixture(b, route, startTarget(b, answer))
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for b.Loop() {
		fmt.Fprint(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nAuthorization: Bearer k\r\nContent-Length: 4\r\n\r\nbody")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
	}
}
