package caller

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uptrace/bunrouter"

	"kingcuprill/core/bytebudget"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/metrics"
	"kingcuprill/io/rig/eventually"
	"kingcuprill/io/settings"
)

// holdingServer reads the bodies of requests and keeps these until released.
type holdingServer struct {
	*httptest.Server
	release chan struct{}
	ended   atomic.Int64 // requests whose bodies were read or refused
}

func newHoldingServer(t *testing.T) *holdingServer {
	t.Helper()
	s := &Server{
		VMState: vmstate.New(membership.Member{ID: "vm"}, time.Minute), Limits: settings.Limits{MaxBodyBytes: 4 << 20, MaxConcurrent: 1000},
		Bodies: bytebudget.NewForBodies(32 << 20), Metrics: metrics.New(), Log: slog.New(slog.DiscardHandler),
	}
	h := &holdingServer{release: make(chan struct{})}
	router := bunrouter.New()
	router.POST("/", s.wrap(func(in *incomingRequest) error {
		in.key.Organisation = in.r.Header.Get("Organisation")
		_, err := s.readBody(in)
		h.ended.Add(1)
		if err == nil {
			<-h.release
		}
		return err
	}))
	h.Server = httptest.NewServer(router)
	t.Cleanup(h.Close)
	return h
}

// send sends a body and returns the answer, nil if the connection has broken.
func (h *holdingServer) send(organisation string, size int, chunked bool) *http.Response {
	var body io.Reader = bytes.NewReader(make([]byte, size))
	if chunked {
		body = io.MultiReader(body) // of unknown length
	}
	request, err := http.NewRequest(http.MethodPost, h.URL, body)
	if err != nil {
		return nil
	}
	request.Header.Set("Organisation", organisation)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusServiceUnavailable && (!strings.Contains(string(text), `"not_run":true`) || response.Header.Get("Retry-After") == "") {
		response.StatusCode = -1
	}
	return response
}

// The bodies of one caller's requests took memory without a bound for their sum.
func TestBodiesOfRequestsShareABudget(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			h := newHoldingServer(t)
			codes := map[int]int{}
			var mu sync.Mutex
			var group sync.WaitGroup
			for range 50 {
				group.Go(func() {
					code := 0
					if response := h.send("greedy", 4<<20, chunked); response != nil {
						code = response.StatusCode
					}
					mu.Lock()
					defer mu.Unlock()
					codes[code]++
				})
			}
			eventually.Until(t, "all bodies are read or refused", func() bool { return h.ended.Load() == 50 })
			others := make(chan *http.Response, 2)
			for _, size := range []int{100, 4 << 20} {
				go func() { others <- h.send("other", size, chunked) }()
			}
			eventually.Until(t, "the bodies of the other organisation are", func() bool { return h.ended.Load() == 52 })
			close(h.release)
			group.Wait()
			for range cap(others) {
				if response := <-others; response == nil || response.StatusCode != http.StatusOK {
					t.Errorf("a body of another organisation: %v", response)
				}
			}
			if codes[http.StatusOK] < 1 || codes[http.StatusOK] > 4 || codes[-1] > 0 || codes[http.StatusOK]+codes[http.StatusServiceUnavailable]+codes[0] != 50 {
				t.Errorf("bodies of 4 MB in a budget of 32 MB: by status %v", codes)
			}
		})
	}
}
