// Package http1 tells answers of HTTP/1.1 peers from what net/http takes for answers though
// it is malformed or cut. Peers may answer anything when they fail.
package http1

import (
	"context"
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

// NewTransport returns a transport that sends requests by base, over connections that base
// opens with its DialContext. base must not be used otherwise.
func NewTransport(base *http.Transport) Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
	return Transport{Transport: base}
}

// RoundTrip sends a request and waits for the head of the answer.
func (t Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn
		if checked, plain := conn.(*Conn); plain { // bytes of TLS can't be checked
			checked.ExpectHead()
		}
	}}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err = t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response); err != nil {
		response.Body.Close()
		conn.Close() // where the answer ends isn't known
		return nil, err
	}
	return response, nil
}

// CheckStatus returns an error if the status of a head is not that of a final answer
// (RFC 9110, section 15).
func CheckStatus(head *http.Response) error {
	if head.StatusCode < http.StatusOK {
		return fmt.Errorf("status %d is that of no answer", head.StatusCode)
	}
	return nil
}
