package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// A target is gone from the configuration while a request is on its way to it. The pool must close what is idle only.
func TestPrunedPeersEndNoRequest(t *testing.T) {
	pruned, sent := make(chan struct{}), make(chan struct{})
	p := startPeer(t, func(conn net.Conn, request *http.Request, number int64) {
		close(sent)
		<-pruned
		writeOK(conn, request, number)
	})
	c := NewClient(nil)
	go func() {
		<-sent
		c.Prune(time.Now(), func(string) bool { return false })
		close(pruned)
	}()
	if body, _, err := send(t.Context(), c, p, "a"); err != nil || body != "ok" {
		t.Errorf("%q, %v", body, err)
	}
	c.Prune(time.Now(), func(string) bool { return false })
	if c.mu.Lock(); len(c.idle) > 0 {
		t.Error("a connection to a target that is gone is kept")
	}
	c.mu.Unlock()
}
