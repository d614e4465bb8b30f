// Package rawpeer is an HTTP peer that answers with scripted bytes, for tests of what clients
// make of malformed answers and of those that break off.
package rawpeer

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// LongBody is the size of a request that the buffers of a connection can't take whole.
const LongBody = 16 << 20 // bytes

// resetDelay lets the client read what was sent before a reset discards it.
const resetDelay = 20 * time.Millisecond

// Peer answers each request with the same bytes and ends the connection.
type Peer struct {
	Answer string
	// Reset makes the peer reset the connection before it has read the body of the request.
	// Otherwise, it reads the request whole and ends in order.
	Reset bool
}

// Start starts the peer until the end of the test and returns its address.
func (p Peer) Start(t testing.TB) (address string) {
	t.Helper()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// ServeHTTP answers one request.
func (p Peer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.Reset {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, p.Answer)
	if p.Reset {
		time.Sleep(resetDelay)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Malformed returns answers with a body that are none, by what is wrong with them.
func Malformed(body string) (answers map[string]string) {
	end := "\r\n\r\n" + body
	return map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\nA: b" + end,
		"status 099":             "HTTP/1.1 099 X\r\nA: b" + end,
		"status 101":             "HTTP/1.1 101 X\r\nA: b" + end,
		"blank in a name":        "HTTP/1.1 200 OK\r\nA b: c" + end,
		"blank before a colon":   "HTTP/1.1 200 OK\r\nContent-Length : 400" + end,
		"blank before a name":    "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 400" + end,
		"control byte in a name": "HTTP/1.1 200 OK\r\nA\x01b: c" + end,
	}
}

// Part is the begin of an answer with neither a length nor chunks.
const Part = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
