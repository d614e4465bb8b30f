//go:build review3

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const host = "ficu95.example"

// event is an event of a stream as a client has received it.
type event struct {
	id      string
	version string // of the software that has written it
}

// answer is what a client has received in one attempt.
type answer struct {
	status   int
	events   []event
	body     string
	complete bool
}

// attempt sends one client attempt on a connection of its own and reads its answer.
func (s *system) attempt(n *node, method, path, id string, within time.Duration, header map[string]string) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.address(frontPort)+path, strings.NewReader("prompt of "+id))
	must(err)
	request.Host = host
	request.Header.Set("Kingcuprill-Attempt-Id", id)
	request.Header.Set("Kingcuprill-Time-Remaining", fmt.Sprint(within.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(response.Body)
		a.body, a.complete = string(body), err == nil
		return a
	}
	lines := bufio.NewScanner(response.Body)
	next := event{}
	for lines.Scan() {
		line := lines.Text()
		if id, found := strings.CutPrefix(line, "id: "); found {
			next.id = id
		}
		if data, found := strings.CutPrefix(line, "data: "); found {
			next.version = data
		}
		if line == "" && next.id != "" {
			a.events = append(a.events, next)
			next = event{}
		}
	}
	a.complete = lines.Err() == nil
	return a
}
