//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heldLink is the operator's way to one control machine. While it is cut, it holds up the bytes
// of open connections, and delivers them when the cut heals. The end of a connection is a
// packet of its own, which goes out when the bytes before have been acknowledged: one round
// trip later.
type heldLink struct {
	listener net.Listener
	to       string
	healed   chan struct{}
}

const roundTrip = 110 * time.Millisecond // between regions

func newHeldLink(to string) *heldLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	l := &heldLink{listener: listener, to: to, healed: make(chan struct{})}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(from)
		}
	}()
	return l
}

// carry carries the bytes of a connection that was open when the cut began. What the machine
// answers is lost, as the operator has closed the connection by then.
func (l *heldLink) carry(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		return // the order is lost
	}
	defer to.Close()
	sent, _ := io.ReadAll(from)
	<-l.healed
	_, _ = to.Write(sent)
	time.Sleep(roundTrip)
}

// order sends an order of the operator to a machine over a connection of its own.
func (s *system) order(n *node, path string) (acknowledged bool) {
	conn, err := net.DialTimeout("tcp", n.address(controlPort), time.Second)
	if err != nil {
		s.note("operator: POST %s to %s: %v", path, n.name, err)
		return false
	}
	return s.orderOn(conn, n, path)
}

// orderOn sends an order over an open connection, waits a second for its answer and closes it.
func (s *system) orderOn(conn net.Conn, n *node, path string) (acknowledged bool) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", path, n.address(controlPort))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.note("operator: POST %s to %s: no answer within a second; it closes the connection", path, n.name)
		return false
	}
	response.Body.Close()
	s.note("operator: POST %s to %s: status %d", path, n.name, response.StatusCode)
	return response.StatusCode/100 == 2
}

// undoneEvacuation: the operator's order to take an evacuation back is held up on its way to one
// control machine. The operator sends it to another one, and evacuates the zone again. Then the
// first copy arrives.
func undoneEvacuation(s *system) (broken bool) {
	const (
		zone    = "kolkata-a"
		cut     = 4 * time.Second
		bound   = 5 * time.Second // evacuationMs
		watched = 6 * time.Second // after the bound
		traffic = 100 * time.Millisecond
	)
	s.startAll()
	s.put(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": host, "pathPrefix": "/pule252/", "kind": "idempotent", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 2,
			"service": "desk", "attempts": 2, "anonymous": false, "sticky": false, "canResume": false, "homeRegions": []any{},
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "connectionLimit": 96, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}},
		"limits":   clientLimits(),
		"tenants":  []any{tenant(5_000_000)},
	})
	var mu sync.Mutex
	evacuated := time.Time{} // acknowledgement of the evacuation that holds
	before, late := 0, 0
	ran := func(r *runner, id string) {
		mu.Lock()
		defer mu.Unlock()
		if r.zone != zone {
			return
		}
		before++
		if evacuated.IsZero() {
			return
		}
		after := time.Since(evacuated)
		s.note("%s reaches %s in %s, %.3f s after the acknowledgement of its evacuation", id, r.id, zone, after.Seconds())
		if after > bound {
			late++
		}
	}
	for i, z := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		r := s.newRunner(fmt.Sprintf("i-desk-%d", i+1), "desk", z, 31+i, runnerPort, 6)
		r.serve = func(r *runner, w http.ResponseWriter, q *http.Request) {
			ran(r, q.Header.Get("Kingcuprill-Attempt-Id"))
			time.Sleep(15 * time.Millisecond)
			fmt.Fprint(w, "record")
		}
		r.start("v1")
	}
	s.waitReady()
	stop := make(chan struct{})
	statuses := map[int]int{}
	var group sync.WaitGroup
	for _, n := range s.entries[:2] {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(traffic):
				}
				id := fmt.Sprintf("q-%d", s.ids.Add(1))
				a := s.attempt(n, http.MethodGet, "/pule252/2f", id, 5*time.Second, map[string]string{"Authorization": "Bearer " + key})
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	s.until(16 * time.Second)
	mu.Lock()
	s.note("%d requests have run in %s", before, zone)
	if before == 0 {
		panic("no request runs in the zone")
	}
	mu.Unlock()
	start, end := "/api/Evacuation.Start/"+zone, "/api/Evacuation.End/"+zone
	first, second := s.controls[1], s.controls[0]
	if !s.order(second, start) {
		panic("the first evacuation is not acknowledged")
	}
	time.Sleep(3 * time.Second)
	address, link := first.address(controlPort), (*heldLink)(nil)
	if s.trouble {
		link = newHeldLink(address)
		defer link.listener.Close()
		address = link.listener.Addr().String()
	}
	kept, err := net.DialTimeout("tcp", address, time.Second)
	must(err)
	s.note("the operator has an open connection to %s", first.name)
	time.Sleep(200 * time.Millisecond)
	if s.trouble {
		s.note("the operator's way to %s is cut", first.name)
	}
	cutAt := time.Now()
	if !s.orderOn(kept, first, end) && !s.order(second, end) {
		panic("the end of the evacuation is not acknowledged")
	}
	time.Sleep(time.Second)
	if !s.order(second, start) {
		panic("the second evacuation is not acknowledged")
	}
	mu.Lock()
	evacuated = time.Now()
	mu.Unlock()
	time.Sleep(time.Until(cutAt.Add(cut)))
	if link != nil {
		s.note("the cut heals; the bytes that were held up arrive at %s", first.name)
		close(link.healed)
	}
	time.Sleep(time.Until(evacuated.Add(bound + watched)))
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.note("%d requests have run in %s later than %v after its evacuation was acknowledged; statuses: %v", late, zone, bound, statuses)
	return late > 0
}
