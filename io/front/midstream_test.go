package front

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// raw sends an answer as it is, after a head with the request's id, and closes.
func raw(head, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "%s\r\nId: %s\r\n\r\n%s", head, request.Header.Get("Id"), body)
		time.Sleep(20 * time.Millisecond) // the bytes have been read
		conn.Close()
	}
}

// A stream has begun and breaks off, and what comes next is no part of it. None of that
// reaches the caller, and the stream doesn't end as if it were complete.
func TestErrorsInTheMiddleOfStreams(t *testing.T) {
	const begun = "id: 1\ndata: 1\n\n"
	const eventStream = "\r\nContent-Type: text/event-stream"
	errorHead := "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror\n\n"
	breaks := stream(false, 1)
	for name, script := range map[string][]func(net.Conn, *http.Request){
		"error":                           {breaks, status(500, "", "error\n\n")},
		"error as an event stream":        {breaks, status(500, "Content-Type: text/event-stream\r\n", "data: error\n\n")},
		"refusal with a body":             {breaks, status(503, "Not-Run: 1\r\n", "error\n\n")},
		"client error":                    {breaks, status(404, "", "error\n\n")},
		"success that is no stream":       {breaks, status(200, "Content-Type: text/plain\r\n", "error\n\n")},
		"empty stream":                    {breaks, stream(true)},
		"empty answer":                    {breaks, status(200, "Content-Type: text/event-stream\r\n", "")},
		"text in place of events":         {breaks, status(200, "Content-Type: text/event-stream\r\n", "Internal Server Error\n\n")},
		"head of an error in a stream":    {raw("HTTP/1.1 200 OK"+eventStream, begun+errorHead)},
		"head of an error in an event":    {raw("HTTP/1.1 200 OK"+eventStream, begun+"id: 2\n"+errorHead)},
		"head of an error within length":  {raw("HTTP/1.1 200 OK"+eventStream+fmt.Sprintf("\r\nContent-Length: %d", len(begun+errorHead)), begun+errorHead)},
		"head of an error between chunks": {raw("HTTP/1.1 200 OK"+eventStream+"\r\nTransfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n%s", len(begun), begun, errorHead))},
	} {
		t.Run(name, func(t *testing.T) {
			shared := startTarget(t, script...)
			w := newFixture(t, resumable, shared, shared, shared, shared)
			code, body, _ := w.ask(t, "k")
			if code != 0 || strings.Trim(body, "\n") != strings.Trim(begun, "\n") {
				t.Errorf("status %d, body %q; want event 1 only, and a visible break", code, body)
			}
		})
	}
}
