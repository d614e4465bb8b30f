package front

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"kingcuprill/core/drain"
	"kingcuprill/core/linkbudget"
	"kingcuprill/core/plan"
)

// writeBody writes a body in parts, as a whole or in chunks.
func writeBody(conn net.Conn, size int, chunked bool, pause time.Duration) error {
	const parts = 4
	for i := range parts {
		part := strings.Repeat("x", size/parts)
		if chunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if i == parts-1 && chunked {
			part += "0\r\n\r\n"
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// A request is refused before its body is whole. Its caller must get the refusal, also if it reads only after it has sent all or can't send on.
func TestRefusalsBeforeTheBodyIsWholeArrive(t *testing.T) {
	for name, test := range map[string]struct {
		key    string
		limit  int64
		change func(*fixture)
		codes  string
	}{
		"unknown key":   {key: "x", limit: 16 << 20, change: func(*fixture) {}, codes: "401"},
		"too large":     {key: "k", limit: 10, change: func(*fixture) {}, codes: "413 408"},
		"late":          {key: "k", change: func(*fixture) {}, codes: "408 503 504 200"},
		"late, bounded": {key: "k", limit: 16 << 20, change: func(*fixture) {}, codes: "408 503 504 200"},
		"stops": {key: "k", limit: 16 << 20, change: func(w *fixture) {
			w.server.Stop(drain.Stop{Begun: time.Now().Add(-time.Minute), Grace: time.Second})
		}, codes: "503"},
		"link is full": {key: "k", limit: 16 << 20, change: func(w *fixture) { w.server.Link = linkbudget.New(1) }, codes: "503"},
		"stops meanwhile": {key: "k", limit: 16 << 20, change: func(w *fixture) {
			time.AfterFunc(50*time.Millisecond, func() { w.server.Stop(drain.Stop{Begun: time.Now(), Grace: 100 * time.Millisecond}) })
		}, codes: "503 408 504 200"},
	} {
		for _, size := range []int{64, 16 << 10, 200 << 10, 4 << 20} {
			for _, chunked := range []bool{false, true} {
				for _, pause := range []time.Duration{0, 120 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s, %d bytes, chunked %v, pause %v", name, size, chunked, pause), func(t *testing.T) {
						t.Parallel()
						w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1, Timeout: 250 * time.Millisecond}, startTarget(t, status(200, "", "fine")))
						w.changePlan(func(p *plan.Plan) { p.MaxBody = test.limit })
						test.change(w)
						code, err := w.sendSlowly(t, test.key, size, chunked, pause)
						if err != nil || !strings.Contains(test.codes, strconv.Itoa(code)) {
							t.Errorf("status %d, %v", code, err)
						}
					})
				}
			}
		}
	}
}

// sendSlowly sends a request and reads the answer once it is sent, or can't be sent on.
func (w *fixture) sendSlowly(t *testing.T, key string, size int, chunked bool, pause time.Duration) (code int, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", key, framing)
	sent := writeBody(conn, size, chunked, pause)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, errors.Join(err, sent)
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// lateEnd is a body whose reader notices its end late.
type lateEnd struct {
	io.ReadCloser
	wait time.Duration
}

func (b lateEnd) Read(p []byte) (n int, err error) {
	if n, err = b.ReadCloser.Read(p); errors.Is(err, io.EOF) {
		time.Sleep(b.wait)
	}
	return n, err
}

// The time of a request ends as its body is whole, so that the read deadline hits the connection behind it.
func TestRequestsWhoseTimeEndsWithTheirBodyAreAnswered(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, stop := range []bool{false, true} {
			t.Run(fmt.Sprintf("chunked %v, stop %v", chunked, stop), func(t *testing.T) {
				t.Parallel()
				shared := startTarget(t, status(200, "", "fine"))
				w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1, Timeout: 200 * time.Millisecond}, shared)
				w.front.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
					r.Body = lateEnd{r.Body, 400 * time.Millisecond}
					if stop {
						w.server.Stop(drain.Stop{Begun: time.Now(), Grace: 200 * time.Millisecond})
					}
					w.server.ServeHTTP(writer, r)
				})
				code, err := w.sendSlowly(t, "k", 64, chunked, 0)
				if err != nil || (code != http.StatusRequestTimeout && code != http.StatusServiceUnavailable) || shared.count() > 0 {
					t.Errorf("status %d, %v; sent to targets %d times", code, err, shared.count())
				}
			})
		}
	}
}
