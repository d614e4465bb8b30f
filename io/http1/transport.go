// Package http1 tells answers of HTTP/1.1 peers from what net/http takes for answers though
// it is malformed. It is for clients of targets, which may answer anything when they fail.
package http1

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails if the head of an answer is malformed. The
// request may have run then. It is safe for concurrent use.
type Transport struct {
	*http.Transport
}

// RoundTrip sends a request and waits for the head of the answer.
func (t Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err = t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		response.Body.Close()
		conn.Close() // where the answer ends isn't known
		return nil, err
	}
	return response, nil
}

// CheckHead returns an error if a head is not that of a final answer (RFC 9110, section 15).
func CheckHead(head *http.Response) error {
	if head.StatusCode < http.StatusOK {
		return fmt.Errorf("status %d is that of no answer", head.StatusCode)
	}
	return nil
}
