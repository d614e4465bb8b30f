//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	leaveDrain     = 3 * time.Second // drainMs
	leaveServes    = 3700 * time.Millisecond
	leaveCut       = 5 * time.Second
	leaveEvery     = 40 * time.Millisecond
	leaveAt        = 4 * time.Second
	leaveTraffic   = 14 * time.Second
	leaveWork      = 60 * time.Millisecond
	callsPerDesk   = 6
	leavingDesk    = 0 // its number among the runners
	acknowledgedIn = 5 * time.Second
)

// leavers records the arrivals of bookings at the runners.
type leavers struct {
	mu           sync.Mutex
	acknowledged time.Time // when the farewell of the leaving runner was
	late         int       // arrivals there later than drainMs after that
	lost         int       // bookings that it had begun when it exited
	running      int
	exited       bool
}

func init() {
	cases["leave"] = playLeave
}

func playLeave(w *world) (broken bool, err error) {
	for _, zone := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		w.addVM("control", zone)
	}
	entries := []*vm{w.addVM("entry", "kolkata-a"), w.addVM("entry", "kolkata-a")}
	w.addVM("entry", "siliguri-a")
	w.addVM("entry", "durgapur-a")
	if err := w.startAll(); err != nil {
		return false, err
	}
	if err := w.configure(deskDocument(3, "desk-old"), startTimeout); err != nil {
		return false, err
	}
	link, err := w.newProxy(w.seeds[0])
	if err != nil {
		return false, err
	}
	l := &leavers{}
	var leaving *runner
	for i, zone := range []string{"kolkata-a", "siliguri-a", "siliguri-a", "durgapur-a", "durgapur-a"} {
		home := map[string]int{"kolkata-a": 0, "siliguri-a": 1, "durgapur-a": 2}[zone]
		r, err := w.addRunner("desk-old", zone, callsPerDesk, i, l.serve, func(r *runner) {
			r.home = home
			if i == leavingDesk {
				r.controls = append([]string{link.address}, w.seeds[1:]...)
			}
		})
		if err != nil {
			return false, err
		}
		if i == leavingDesk {
			leaving = r
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	w.line("traffic begins")
	ended := make(chan error, 1)
	time.AfterFunc(leaveAt, func() { ended <- l.leave(w, leaving, link) })
	var group sync.WaitGroup
	i := 0
	for end := time.Now().Add(leaveTraffic); time.Now().Before(end); time.Sleep(leaveEvery) {
		entry := entries[i%len(entries)]
		group.Go(func() { w.book(entry) })
		i++
	}
	group.Wait()
	if err := <-ended; err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.line("%d requests reached runner %s later than %v after its farewell was acknowledged; it had begun %d that were lost when it exited", l.late, leaving.id, leaveDrain, l.lost)
	return l.late > 0, nil
}

// leave lets a runner say farewell, serve on and exit. Its link to the control VM that it
// reports to is cut shortly before.
func (l *leavers) leave(w *world, r *runner, link *proxy) error {
	r.beats.Store(false)
	if w.trouble {
		w.line("runner %s is partitioned from the control VM that it reports to, %s", r.id, w.seeds[0])
		link.cut.Store(true)
		time.AfterFunc(leaveCut, func() {
			w.line("the partition ends")
			link.cut.Store(false)
		})
	}
	w.line("runner %s says farewell", r.id)
	index, ok := 0, false
	for until := time.Now().Add(acknowledgedIn); !ok; {
		if time.Now().After(until) {
			return fmt.Errorf("the farewell is not acknowledged")
		}
		index, ok = callOne(r.controls, r.home, "POST", "/api/Instances.Leave/"+r.id, nil)
	}
	l.mu.Lock()
	l.acknowledged = time.Now()
	l.mu.Unlock()
	w.line("control VM %s acknowledges the farewell of runner %s", w.seeds[index], r.id)
	time.Sleep(leaveServes)
	l.mu.Lock()
	l.exited, l.lost = true, l.running
	l.mu.Unlock()
	w.line("runner %s exits", r.id)
	r.exit()
	return nil
}

func (l *leavers) serve(r *runner, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(idHeader)
	_, _ = io.Copy(io.Discard, request.Body)
	leaving := strings.HasSuffix(r.id, fmt.Sprintf("%02d", leavingDesk))
	l.mu.Lock()
	after := time.Since(l.acknowledged)
	late := leaving && !l.acknowledged.IsZero() && after > leaveDrain
	if late {
		l.late++
	}
	if leaving {
		l.running++
	}
	l.mu.Unlock()
	if late {
		r.world.line("runner %s gets %s, %v after its farewell was acknowledged", r.id, id, after.Round(time.Millisecond))
	} else {
		r.world.line("runner %s gets %s", r.id, id)
	}
	time.Sleep(leaveWork)
	l.mu.Lock()
	if leaving {
		l.running--
	}
	l.mu.Unlock()
	fmt.Fprintf(w, "booked %s", id)
}

// book sends one booking as a client.
func (w *world) book(entry *vm) {
	id := w.newID()
	request, _ := http.NewRequest("POST", "http://"+entry.ip+":"+frontPort+"/hold/x", strings.NewReader(strings.Repeat("x", 600)))
	request.Host = "hire.example"
	request.Header.Set(idHeader, id)
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(leftHeader, "5000")
	w.line("client sends %s to %s", id, entry.name)
	answer, err := streamClient.Do(request)
	if err != nil {
		w.line("client has no answer to %s: %v", id, err)
		return
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	w.line("client gets %d for %s, error %v", answer.StatusCode, id, err)
}
