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
	must(err)
	defer to.Close()
	sent, _ := io.ReadAll(from)
	<-l.healed
	_, _ = to.Write(sent)
	time.Sleep(roundTrip)
}

// order sends an order of the operator and waits a second for its answer. address is where the
// machine is reached.
func (s *system) order(n *node, address, path string) (acknowledged bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		s.note("operator: POST %s to %s: %v", path, n.name, err)
		return false
	}
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

// undoneReturn: the operator's order to evacuate a zone is held up on its way to one control
// machine. The operator sends it to another one, and takes the evacuation back. Then the first
// copy arrives.
func undoneReturn(s *system) (broken bool) {
	const (
		zone    = "kolkata-a"
		cut     = 4 * time.Second
		recover = 12 * time.Second // recoverS
		looks   = 50
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
	ran := map[string]int{} // by zone
	for i, z := range []string{"kolkata-a", "siliguri-a", "durgapur-a"} {
		r := s.newRunner(fmt.Sprintf("i-desk-%d", i+1), "desk", z, 31+i, 8080, 6)
		r.serve = func(r *runner, w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			ran[r.zone]++
			mu.Unlock()
			time.Sleep(15 * time.Millisecond)
			fmt.Fprint(w, "record")
		}
		r.start("v1")
	}
	s.waitReady()
	// look sends requests to the entry machines of the zone and returns how many ran there.
	look := func(when string) (there int) {
		mu.Lock()
		clear(ran)
		mu.Unlock()
		served := 0
		for i := range looks {
			id := fmt.Sprintf("q-%d", s.ids.Add(1))
			a := s.attempt(s.entries[i%2], http.MethodGet, "/pule252/2f", id, 5*time.Second, map[string]string{"Authorization": "Bearer " + key})
			if a.status == http.StatusOK {
				served++
			}
			time.Sleep(40 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		s.note("%s: of %d requests at the entry machines of %s, %d were served; runs by zone: %v", when, looks, zone, served, ran)
		return ran[zone]
	}
	s.until(16 * time.Second)
	if look("before the evacuation") == 0 {
		panic("no request runs in the zone")
	}
	start, end := "/api/Evacuation.Start/"+zone, "/api/Evacuation.End/"+zone
	first, second := s.controls[1], s.controls[0]
	address, link := first.address(controlPort), (*heldLink)(nil)
	if s.trouble {
		link = newHeldLink(address)
		defer link.listener.Close()
		address = link.listener.Addr().String()
		s.note("the operator's way to %s is cut", first.name)
	}
	cutAt := time.Now()
	if !s.order(first, address, start) && !s.order(second, second.address(controlPort), start) {
		panic("the evacuation is not acknowledged")
	}
	time.Sleep(time.Second)
	if !s.order(second, second.address(controlPort), end) {
		panic("the end of the evacuation is not acknowledged")
	}
	time.Sleep(time.Until(cutAt.Add(cut)))
	if link != nil {
		s.note("the cut heals; the bytes that were held up arrive at %s", first.name)
		close(link.healed)
	}
	time.Sleep(4 * time.Second)
	look("after the end of the evacuation was acknowledged")
	s.note("final fault: all processes are killed")
	nodes := append(append([]*node{}, s.controls...), s.entries...)
	for _, n := range nodes {
		s.kill(n)
	}
	time.Sleep(500 * time.Millisecond)
	for _, n := range nodes {
		s.start(n, false)
	}
	s.waitReady()
	time.Sleep(recover)
	there := look("after the final fault")
	return there == 0
}
