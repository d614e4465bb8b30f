package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"kingcuprill/core/plan"
)

// A caller that had closed its sending side was answered with a success that no target
// had given, or with the begin of a stream that looked complete.
func TestCallersThatStopSendingGetNoFalseSuccess(t *testing.T) {
	for name, test := range map[string]struct {
		route  plan.Route
		answer func(net.Conn, *http.Request)
	}{
		"before the answer": {plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, silent},
		"in mid-stream":     {plan.Route{Kind: plan.Stream, Attempts: 1}, beginAndBeSilent},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, test.route, startTarget(t, test.answer))
			conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "GET /a/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nAuthorization: Bearer k\r\n\r\n")
			time.Sleep(200 * time.Millisecond) // a stream has begun
			_ = conn.(*net.TCPConn).CloseWrite()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			if body, err := io.ReadAll(response.Body); err == nil {
				t.Errorf("status %d with %q looks complete", response.StatusCode, body)
			}
		})
	}
}
