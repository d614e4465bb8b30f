//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	orderEvents    = 4
	orderGap       = 300 * time.Millisecond
	orderRunners   = 6
	orderPerSecond = 110
	// orderCalm is how long all control VMs have run before the disruption.
	orderCalm     = 66 * time.Second
	orderQuiet    = 500 * time.Millisecond
	orderCut      = 5 * time.Second
	orderDeadline = 12 * time.Second
	orderTries    = 3
	orderAllowed  = 2 // streams with events of two versions
)

func init() {
	cases["order"] = playOrder
}

// versionStream is one stream as its client sees it, over all its tries.
type versionStream struct {
	first    string // id of the attempt that brought the first event
	versions []string
	last     int
	tries    int
	ended    bool
}

// versionStreams holds the streams that have ended or were given up.
type versionStreams struct {
	mu  sync.Mutex
	all []*versionStream
}

func playOrder(w *world) (broken bool, err error) {
	for _, zone := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		w.addVM("control", zone)
	}
	entries := []*vm{w.addVM("entry", "kolkata-a"), w.addVM("entry", "kolkata-a")}
	if err := w.startAll(); err != nil {
		return false, err
	}
	begun := time.Now()
	if err := w.configure(engineDocument(3), startTimeout); err != nil {
		return false, err
	}
	var links []*proxy
	var addresses []string
	for _, seed := range w.seeds {
		p, err := w.newProxy(seed)
		if err != nil {
			return false, err
		}
		links, addresses = append(links, p), append(addresses, p.address)
	}
	var reborn *runner
	for i := range orderRunners {
		r, err := w.addRunner("planner", "kolkata-a", 32, i, serveVersion, func(r *runner) {
			r.home = 0
			if i == 0 {
				r.controls = addresses
			}
		})
		if err != nil {
			return false, err
		}
		if i == 0 {
			reborn = r
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begun.Add(orderCalm)))
	ended := make(chan error, 1)
	go func() { ended <- rebirth(w, reborn, links) }()
	time.Sleep(orderQuiet)
	w.line("traffic begins")
	streams := &versionStreams{}
	var group sync.WaitGroup
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Second / orderPerSecond) {
		group.Go(func() { streams.follow(w, entries) })
	}
	group.Wait()
	if err := <-ended; err != nil {
		return false, err
	}
	return streams.judge(w), nil
}

// rebirth partitions a runner from the control VMs. Behind the cut it crashes, starts again
// with a newer version of its software and crashes once more.
func rebirth(w *world, r *runner, links []*proxy) error {
	if !w.trouble {
		return nil
	}
	w.line("runner %s is partitioned from the control VMs, not from the entry VMs", r.id)
	for _, l := range links {
		l.cut.Store(true)
	}
	time.AfterFunc(orderCut, func() {
		w.line("the partition ends")
		for _, l := range links {
			l.cut.Store(false)
		}
	})
	time.Sleep(200 * time.Millisecond)
	r.crash()
	time.Sleep(100 * time.Millisecond)
	if err := r.restart("v2"); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	r.crash()
	time.Sleep(3 * time.Second)
	return r.restart("v2")
}

// serveVersion is a runner's handler: it writes events that name its version, from the one after
// Last-Event-Id on.
func serveVersion(r *runner, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(idHeader)
	_, _ = io.Copy(io.Discard, request.Body)
	_, version := r.start()
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.world.line("runner %s (%s) runs %s from event %d on", r.id, version, id, last+1)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= orderEvents; event++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(orderGap):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, version)
		_ = http.NewResponseController(w).Flush()
	}
}

// follow is a client that takes its stream up again when the connection breaks.
func (s *versionStreams) follow(w *world, entries []*vm) {
	stream := &versionStream{}
	until := time.Now().Add(orderDeadline)
	for !stream.ended && stream.tries < orderTries && time.Now().Before(until) {
		s.try(w, entries[rand.IntN(len(entries))], stream, until)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, stream)
}

func (s *versionStreams) try(w *world, entry *vm, stream *versionStream, until time.Time) {
	id := w.newID()
	stream.tries++
	request, _ := http.NewRequest("POST", "http://"+entry.ip+":"+frontPort+"/plan/draft", strings.NewReader(strings.Repeat("x", 2400)))
	request.Host = "hire.example"
	request.Header.Set(idHeader, id)
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(leftHeader, strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	request.Header.Set(modelHeader, "m")
	request.Header.Set(tokensHeader, "1800,180")
	request.Header.Set(prefixHeader, fmt.Sprintf("a%07x:341,b%07x:227,%s:1232", rand.IntN(32), rand.IntN(200), id))
	if stream.last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(stream.last))
		request.Header.Set("Resumes", stream.first)
	}
	w.line("client sends %s to %s, Last-Event-Id %d, Resumes %q", id, entry.name, stream.last, stream.first)
	answer, err := orderClient.Do(request)
	if err != nil {
		w.line("client has no answer to %s: %v", id, err)
		return
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		w.line("client gets %d for %s", answer.StatusCode, id)
		after, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		time.Sleep(time.Duration(max(0.1, after) * float64(time.Second)))
		return
	}
	err = stream.read(answer.Body, id)
	w.line("client has events up to %d after %s, versions %v, error %v", stream.last, id, stream.versions, err)
}

// orderClient opens a new connection for each try.
var orderClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

var errEnded = errors.New("the stream has ended before its last event")

func (s *versionStream) read(body io.Reader, id string) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			s.last, _ = strconv.Atoi(text)
			if s.first == "" {
				s.first = id
			}
		}
		if version, found := strings.CutPrefix(lines.Text(), "data: "); found && (len(s.versions) == 0 || s.versions[len(s.versions)-1] != version) {
			s.versions = append(s.versions, version)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if s.ended = s.last == orderEvents; !s.ended {
		return errEnded
	}
	return nil
}

// judge counts the streams that hold events of runners of two versions.
func (s *versionStreams) judge(w *world) (broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mixed, again, whole := 0, 0, 0
	for _, stream := range s.all {
		if len(stream.versions) > 1 {
			mixed++
			w.line("the stream that %s began holds events of %v", stream.first, stream.versions)
		}
		if stream.tries > 1 {
			again++
		}
		if stream.ended {
			whole++
		}
	}
	w.line("%d streams, %d of them whole, %d with several tries; %d hold events of two versions (allowed: %d)", len(s.all), whole, again, mixed, orderAllowed)
	return mixed > orderAllowed
}
