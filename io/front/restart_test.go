package front

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// answersAs sends the events 1 and 2 and breaks off, or goes on after them. Each names the
// version of the software that wrote it.
func answersAs(version string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		rest := request.Header.Get("Last-Event-Id") == "2"
		events := []int{1, 2}
		if rest {
			events = []int{3}
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n", request.Header.Get("Id"), streamHeader+"Transfer-Encoding: chunked\r\n")
		for _, id := range events {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, version)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if !rest {
			conn.Close()
			return
		}
		fmt.Fprint(conn, "0\r\n\r\n")
	}
}

// A target has started again under its id and address with another version, and this VM
// hasn't heard of it yet. The rest of a stream must not go there.
func TestRestOfAStreamAtARestartedTarget(t *testing.T) {
	var targets []*target
	var begun atomic.Bool // at the target that is asked first, which hasn't started again
	for range 2 {
		targets = append(targets, startTarget(t, func(conn net.Conn, request *http.Request) {
			version := "v1"
			if begun.Swap(true) {
				version = "v2"
			}
			answersAs(version)(conn, request)
		}))
	}
	w := newFixture(t, resumable, targets...)
	w.register(targets, "v1", "v1")
	if _, body, _ := w.ask(t, "k"); strings.Contains(body, "v1") && strings.Contains(body, "v2") {
		t.Errorf("events of both versions: %q", body)
	}
}
