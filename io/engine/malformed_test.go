package engine

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"kingcuprill/core/exchange"
	"kingcuprill/io/settings"
)

// reporting returns the address of an engine that answers each call with a text and closes.
func reporting(t *testing.T, text string) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = conn.Write([]byte(text))
		conn.Close()
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// An engine whose answer was malformed counted as one that had refused the job, or had run it.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Busy"} {
		for _, field := range []string{"A b: c", "A : c", ": c", "A: b\r\n C: d", "A\x01: c"} {
			_, jobs, err := generate(t, "HTTP/1.1 "+status+"\r\n"+field+"\r\n\r\n"+soundStream)
			var failure *exchange.Failure
			if !errors.As(err, &failure) || failure.NotRun || jobs != 1 {
				t.Errorf("status %s, field %q: error %v after %d jobs", status, field, err, jobs)
			}
		}
	}
}

const soundStream = `data: {"exchange_id":"x","index":0,"text":"a"}` + "\n\n" + `data: {"exchange_id":"x","done":true,"usage":{"completion_tokens":1}}` + "\n\n"

const soundReport = `{"boot_id":"b","known":true,"generated":0}`

// An engine that answers with the status of no answer counted as sound.
func TestMalformedReportsAreNoReports(t *testing.T) {
	for name, test := range map[string]struct {
		head  string
		sound bool
	}{
		"sound":               {"HTTP/1.1 200 OK\r\n", true},
		"status 000":          {"HTTP/1.1 000 OK\r\n", false},
		"status 099":          {"HTTP/1.1 099 OK\r\n", false},
		"status 101":          {"HTTP/1.1 101 OK\r\n", false},
		"blank in a name":     {"HTTP/1.1 200 OK\r\nA b: c\r\n", false},
		"blank before a name": {"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			address := reporting(t, test.head+"\r\n"+soundReport)
			client := NewClient(settings.Timeouts{Dial: 20 * time.Second}, nil)
			if health := client.Health(t.Context(), address); health.Reached != test.sound {
				t.Errorf("health %+v", health)
			}
			if state := client.probe(t.Context(), address, "x", 0); (state == sound) != test.sound {
				t.Errorf("progress %d", state)
			}
		})
	}
}
