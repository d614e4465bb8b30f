package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

const within = 400 * time.Millisecond

// started is a peer that tells its start.
type started struct {
	any bool // requests are for any start
	*httptest.Server
	start            atomic.Int64
	asked, connected atomic.Int64
	requests         atomic.Int64
	answered         int64                       // start that has answered last, 0 if it isn't known
	tell             func(w http.ResponseWriter) // in place of its start; may be nil
}

func startStarted(t *testing.T, tell func(http.ResponseWriter)) *started {
	s := &started{tell: tell}
	s.start.Store(5)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != "/start":
			fmt.Fprint(w, "fine")
		case s.asked.Add(1) > 0 && s.tell != nil:
			s.tell(w)
		default:
			fmt.Fprint(w, s.start.Load())
		}
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *started) send(ctx context.Context, c *Client, want int64) error {
	read := func(answer []byte) (int64, bool) {
		start, err := strconv.ParseInt(string(answer), 10, 64)
		return start, err == nil
	}
	response, err := c.Do(ctx, "p", s.Listener.Addr().String(), Request{
		Method: http.MethodGet, URI: "/", Host: "h", EchoValue: strconv.FormatInt(s.requests.Add(1), 10), Start: &Start{URI: "/start", Read: read, Want: want, Within: within, Any: s.any},
	})
	if err != nil {
		return err
	}
	s.answered = response.Start
	_, err = response.ReadAll(100)
	response.Finish(err == nil)
	return err
}

// Requests went to a start of a peer that they weren't for.
func TestRequestsAreSentToOneStartOnly(t *testing.T) {
	s := startStarted(t, nil)
	c := NewClient(func() { s.connected.Add(1) })
	for range 5 {
		if err := s.send(t.Context(), c, 5); err != nil {
			t.Fatal(err)
		}
	}
	if s.asked.Load() != 1 || s.connected.Load() != 1 {
		t.Errorf("%d questions on %d connections, want 1 on 1", s.asked.Load(), s.connected.Load())
	}
	for want, expected := range map[int64]error{4: ErrLaterStart, 6: ErrStartUnknown} {
		var failure *Failure
		if err := s.send(t.Context(), c, want); !errors.Is(err, expected) || !errors.As(err, &failure) || failure.Sent {
			t.Errorf("start 5 where %d is expected: %v", want, err)
		}
	}
}

// Answers that don't show the start, or end the connection.
func TestStartsThatAreNotTold(t *testing.T) {
	for name, test := range map[string]struct {
		tell  func(http.ResponseWriter)
		asked int64
	}{
		"not known": {func(w http.ResponseWriter) { http.Error(w, "", http.StatusNotFound) }, 1},
		"no number": {func(w http.ResponseWriter) { fmt.Fprint(w, "five") }, 1},
		"connection ends": {func(w http.ResponseWriter) {
			w.Header().Set("Connection", "close")
			fmt.Fprint(w, 5)
		}, startConnections},
		"too long": {func(w http.ResponseWriter) { _, _ = w.Write(make([]byte, maxStartAnswer+1)) }, startConnections},
		"late":     {func(http.ResponseWriter) { time.Sleep(2 * within) }, 1},
		"cut":      {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, startConnections},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStarted(t, test.tell)
			var failure *Failure
			begun := time.Now()
			if err := s.send(t.Context(), NewClient(nil), 5); !errors.Is(err, ErrStartUnknown) || !errors.As(err, &failure) || failure.Sent {
				t.Errorf("error %v", err)
			}
			if s.asked.Load() != test.asked {
				t.Errorf("%d questions, want %d", s.asked.Load(), test.asked)
			}
			if took := time.Since(begun); took > 2*within {
				t.Errorf("it took %v", took)
			}
		})
	}
}

// Requests for any start are sent, whatever the peer tells. The answer says which start it was.
func TestRequestsForAnyStartAreSent(t *testing.T) {
	for name, test := range map[string]struct {
		tell                       func(http.ResponseWriter)
		asked, connected, answered int64
	}{
		"another start":   {func(w http.ResponseWriter) { fmt.Fprint(w, 7) }, 1, 1, 7},
		"not known":       {func(w http.ResponseWriter) { http.Error(w, "", http.StatusNotFound) }, 1, 1, 0},
		"late":            {func(http.ResponseWriter) { time.Sleep(2 * within) }, 1, 2, 0},
		"connection ends": {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, startConnections, startConnections + 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStarted(t, test.tell)
			s.any = true
			c := NewClient(func() { s.connected.Add(1) })
			if err := s.send(t.Context(), c, 5); err != nil || s.answered != test.answered {
				t.Errorf("error %v, start %d", err, s.answered)
			}
			if s.asked.Load() != test.asked || s.connected.Load() != test.connected {
				t.Errorf("%d questions on %d connections", s.asked.Load(), s.connected.Load())
			}
		})
	}
}

// The first connection ends with the answer, as it does at times. Another one is taken.
func TestStartsAreAskedForOnAnotherConnection(t *testing.T) {
	var first atomic.Bool
	s := startStarted(t, nil)
	s.tell = func(w http.ResponseWriter) {
		if !first.Swap(true) {
			w.Header().Set("Connection", "close")
		}
		fmt.Fprint(w, 5)
	}
	if err := s.send(t.Context(), NewClient(nil), 5); err != nil || s.asked.Load() != 2 {
		t.Errorf("%v after %d questions", err, s.asked.Load())
	}
}

// A peer was too busy to tell its start. On that connection no request for a start was sent
// any more, though the peer told it soon after.
func TestBusyPeersAreAskedForTheirStartAgain(t *testing.T) {
	var first atomic.Bool
	s := startStarted(t, nil)
	s.tell = func(w http.ResponseWriter) {
		if !first.Swap(true) {
			http.Error(w, "", http.StatusTooManyRequests)
			return
		}
		fmt.Fprint(w, 5)
	}
	c := NewClient(func() { s.connected.Add(1) })
	s.any = true
	if err := s.send(t.Context(), c, 5); err != nil || s.answered != 0 {
		t.Fatalf("error %v, start %d", err, s.answered)
	}
	s.any = false
	if err := s.send(t.Context(), c, 5); err != nil || s.answered != 5 || s.connected.Load() != 1 {
		t.Errorf("error %v, start %d, %d connections", err, s.answered, s.connected.Load())
	}
}

func BenchmarkRequestToAStart(b *testing.B) {
	for name, want := range map[string]int64{"any": 0, "asked": 5} {
		b.Run(name, func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, 5) }))
			defer server.Close()
			request := Request{Method: http.MethodGet, URI: "/", Host: "h"}
			if want > 0 {
				request.Start = &Start{URI: "/start", Read: func([]byte) (int64, bool) { return 5, true }, Want: want, Within: within}
			}
			for b.Loop() {
				response, err := NewClient(nil).Do(b.Context(), "p", server.Listener.Addr().String(), request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = response.ReadAll(100)
				response.Finish(false)
			}
		})
	}
}
