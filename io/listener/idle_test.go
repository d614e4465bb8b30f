package listener

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"kingcuprill/io/rig/eventually"
)

// The limits of idle connections and of headers must end no request whose head has come, and none behind an answer in progress.
func TestIdleLimitsEndNoRequest(t *testing.T) {
	const limit = 200 * time.Millisecond
	server := &http.Server{IdleTimeout: limit, ReadHeaderTimeout: limit, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		time.Sleep(2 * limit)
		_, _ = io.WriteString(w, "whole")
	})}
	s, err := Listen("127.0.0.1:0", server, nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	defer func() {
		s.Close()
		<-ended
	}()
	for _, framing := range []string{"Content-Length: 4\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\n"} {
		c := dial(t, s)
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+"bo")
		time.Sleep(2 * limit)
		_, _ = io.WriteString(c, "dy")
		if framing[0] == 'T' {
			_, _ = io.WriteString(c, "\r\n0\r\n\r\n")
		}
		time.Sleep(limit / 2)
		_, _ = io.WriteString(c, wholeRequest) // while the first is answered
		reader := bufio.NewReader(c)
		for range 2 {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != "whole" {
				t.Errorf("%q, %v", body, err)
			}
		}
	}
}

// A request comes while another on its connection runs in a stop. The answer to the running one must be whole.
func TestAnswersInAStopAreWholeBeforeTheNextRequest(t *testing.T) {
	s, release := startServer(t, nil)
	c := dial(t, s)
	_, _ = io.WriteString(c, wholeRequest)
	eventually.Until(t, "the request has been read", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.state == http.StateActive
		}
		return false
	})
	s.CloseAfterAnswers()
	_, _ = io.WriteString(c, wholeRequest)
	close(release)
	readAnswer(t, "running", c)
	if err := <-startStop(t, s); err != nil {
		t.Errorf("stop: %v", err)
	}
}
