package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kingcuprill/core/plan"
)

const (
	// longUpload is more than the buffers of a connection take.
	longUpload = 16 << 20 // bytes
	// resets is how often a target resets the connection of an upload: whether its writer or
	// its reader gets the error is by chance.
	resets = 20
)

// resetInUpload sends a part of an answer that has neither a length nor chunks, and resets
// the connection before it has read the request.
func resetInUpload(header, part string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", request.Header.Get("Id"), header, part)
		time.Sleep(20 * time.Millisecond) // a reset discards what wasn't read
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// upload sends a request with a body and returns the status, or 0 if the answer breaks off.
func (w *fixture) upload(t *testing.T, body string) (code int) {
	t.Helper()
	request := w.request(t.Context(), t, "k")
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	response, err := w.caller.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// uploadUntilSent uploads through new doors until the target has got the request, as askUntilSent
// does, and returns the status.
func uploadUntilSent(t *testing.T, open func() *fixture, s *target) (code int) {
	t.Helper()
	body := strings.Repeat("x", longUpload)
	for range 20 {
		w := open()
		w.changePlan(func(p *plan.Plan) { p.MaxBody = 0 })
		if code = w.upload(t, body); s.count() > 0 || code == http.StatusOK {
			return code
		}
	}
	t.Error("no request came to the target")
	return code
}

// The begin of an answer must not be delivered as whole if the target resets the connection while
// the request is sent, whether the writer or the reader gets the error.
func TestAnswersResetInAnUploadAreNotWhole(t *testing.T) {
	for name, test := range map[string]struct {
		kind         plan.Kind
		header, part string
	}{
		"answer": {plan.NonIdempotent, "Seal: x\r\n", "part"},
		"stream": {plan.Stream, streamHeader, "id: 1\ndata: 1\n\n"},
	} {
		for _, door := range []string{"target", "entry VM of another region"} {
			t.Run(name+", "+door, func(t *testing.T) {
				whole := 0
				for range resets {
					s := startTarget(t, resetInUpload(test.header, test.part))
					s.early = true
					open := func() *fixture { return doors[door](t, tcp{}, plan.Route{Kind: test.kind, Attempts: 3}, s) }
					switch code := uploadUntilSent(t, open, s); code {
					case http.StatusOK:
						whole++
					case 0, http.StatusBadGateway:
					default:
						t.Errorf("status %d", code)
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d parts came as whole answers", whole, resets)
				}
			})
		}
	}
}

// A target that ends its answer in order while the request is still sent has answered whole.
func TestAnswersEndedInOrderInAnUploadAreWhole(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nfine", request.Header.Get("Id"))
		_ = conn.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
	})
	s.early = true
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, s)
	w.changePlan(func(p *plan.Plan) { p.MaxBody = 0 })
	if code := w.upload(t, strings.Repeat("x", longUpload)); code != http.StatusOK {
		t.Errorf("status %d", code)
	}
}
