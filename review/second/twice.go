//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the sheet of the large deployment: an event holds 15 tokens, pauses of 600 ms
// between events are on time.
const (
	tokenTime       = 35 * time.Millisecond
	tokensPerEvent  = 15
	promptTime      = 80 * time.Millisecond
	shortEvents     = 2
	longEvents      = 10
	shortDeadline   = 3 * time.Second
	longDeadline    = 12 * time.Second
	longShare       = 0.25
	slowFactor      = 5
	slowFor         = 6500 * time.Millisecond
	overlapAllowed  = 400 * time.Millisecond
	streamsPerSec   = 70
	streamRunners   = 7
	calmBefore      = 5 * time.Second
	calmAfter       = 4 * time.Second
	streamReadBytes = 64 << 10
)

// streamRun is one run of a request at a runner: from its first token to its end.
type streamRun struct {
	runner     string
	from       int // first event
	begun, end time.Time
}

// streamRuns holds the runs of all requests.
type streamRuns struct {
	mu   sync.Mutex
	byID map[string][]*streamRun
}

func (s *streamRuns) begin(id, runner string, from int) *streamRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &streamRun{runner: runner, from: from, begun: time.Now()}
	s.byID[id] = append(s.byID[id], run)
	return run
}

func (s *streamRuns) finish(run *streamRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.end = time.Now()
}

func init() {
	cases["twice"] = playTwice
}

func streamRoute(name, prefix string, timeout time.Duration, target int) map[string]any {
	return map[string]any{
		"name": name, "host": "hire.example", "pathPrefix": prefix, "kind": "streaming", "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": target, "priority": 0,
		"service": "planner", "attempts": 2, "anonymous": false, "sticky": true, "canResume": true, "targetGapMs": 600, "homeRegions": []any{},
	}
}

func engineDocument(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  []any{streamRoute("r-stock", "/stock/", shortDeadline, 800), streamRoute("r-plan", "/plan/", longDeadline, 1000)},
		"services": []any{map[string]any{
			"name": "planner", "healthPath": "/health", "connectionLimit": 2000, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"engine": map[string]any{
				"slots": 32, "kvTokens": 597771, "kvTokenBytes": 35136, "linkMbps": 1500000.0, "moves": false, "backups": false, "stride": tokensPerEvent, "most": 12,
				"pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []any{"k1"}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 0, "burst": 0, "homeRegions": []any{}}},
	}
}

func playTwice(w *world) (broken bool, err error) {
	for _, zone := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		w.addVM("control", zone)
	}
	entries := []*vm{w.addVM("entry", "kolkata-a"), w.addVM("entry", "kolkata-a")}
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.configure(engineDocument(3), startTimeout); err != nil {
		return false, err
	}
	runs := &streamRuns{byID: map[string][]*streamRun{}}
	var runners []*runner
	for i := range streamRunners {
		r, err := w.addRunner("planner", "kolkata-a", 32, i, runs.stream)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // all machines are in touch
	w.line("traffic begins")
	if w.trouble {
		time.AfterFunc(calmBefore, func() { runners[0].setSlow(slowFactor) })
		time.AfterFunc(calmBefore+slowFor, func() { runners[0].setSlow(1) })
	}
	var group sync.WaitGroup
	for end := time.Now().Add(calmBefore + slowFor + calmAfter); time.Now().Before(end); time.Sleep(time.Second / streamsPerSec) {
		entry := entries[rand.IntN(len(entries))]
		group.Go(func() { w.stream(entry) })
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	return runs.judge(w), nil
}

// stream is a runner's handler: it reads the prompt and writes events of several tokens each.
func (s *streamRuns) stream(r *runner, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(idHeader)
	_, _ = io.Copy(io.Discard, request.Body)
	r.world.line("runner %s gets %s, Last-Event-Id %q", r.id, id, request.Header.Get("Last-Event-Id"))
	wait := func(d time.Duration) bool {
		select {
		case <-request.Context().Done():
			return false
		case <-time.After(time.Duration(r.speed() * float64(d))):
			return true
		}
	}
	if !wait(promptTime) {
		r.world.line("runner %s drops %s before its first token, as the connection has closed", r.id, id)
		return
	}
	first, events := 1, shortEvents
	if strings.HasPrefix(request.URL.Path, "/plan/") {
		events = longEvents
	}
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	run := s.begin(id, r.id, first)
	r.world.line("runner %s begins to run %s", r.id, id)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := first; event <= events; event++ {
		for token := range tokensPerEvent {
			if (event > first || token > 0) && !wait(tokenTime) { // the first token is there
				s.finish(run)
				r.world.line("runner %s stops work on %s, as the connection has closed", r.id, id)
				return
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: part %d of %s\n\n", event, event, id)
		_ = http.NewResponseController(w).Flush()
	}
	s.finish(run)
	r.world.line("runner %s has run %s to its end", r.id, id)
}

var streamClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// stream sends one request as a client.
func (w *world) stream(entry *vm) {
	id := w.newID()
	path, deadline, output := "/stock/query", shortDeadline, shortEvents*tokensPerEvent
	if rand.Float64() < longShare {
		path, deadline, output = "/plan/draft", longDeadline, longEvents*tokensPerEvent
	}
	request, _ := http.NewRequest("POST", "http://"+entry.ip+":"+frontPort+path, strings.NewReader(strings.Repeat("x", 2400)))
	request.Host = "hire.example"
	request.Header.Set(idHeader, id)
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(leftHeader, fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set(modelHeader, "m")
	request.Header.Set(tokensHeader, fmt.Sprintf("1800,%d", output))
	request.Header.Set(prefixHeader, fmt.Sprintf("a%07x:341,b%07x:227,%s:1232", rand.IntN(32), rand.IntN(200), id))
	w.line("client sends %s (%s) to %s", id, path, entry.name)
	answer, err := streamClient.Do(request)
	if err != nil {
		w.line("client has no answer to %s: %v", id, err)
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(bufio.NewReaderSize(answer.Body, streamReadBytes))
	w.line("client gets %d for %s, %d events, error %v", answer.StatusCode, id, strings.Count(string(body), "data:"), err)
}

// judge looks for requests at which two runners worked for longer than 400 ms at the same time.
func (s *streamRuns) judge(w *world) (broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	repeated, late := 0, 0
	for id, runs := range s.byID {
		slices.SortFunc(runs, func(a, b *streamRun) int { return a.begun.Compare(b.begun) })
		for i := range runs[1:] {
			before, next := runs[i], runs[i+1]
			repeated++
			if over := min(before.end.Sub(next.begun), next.end.Sub(next.begun)); over > overlapAllowed {
				late++
				w.line("%s: runner %s still worked on it %v after runner %s had gone on with it at event %d", id, before.runner, over.Round(time.Millisecond), next.runner, next.from)
			}
		}
	}
	w.line("%d requests ran, %d went on at another runner, %d of these while the one before still worked on it 400 ms later", len(s.byID), repeated, late)
	return late > 0
}
