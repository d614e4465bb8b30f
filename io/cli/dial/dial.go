// Package dial creates clients for the operator interface of a VM: Twirp over HTTP,
// authenticated by the operator token as a bearer token.
package dial

import (
	"net/http"
	"time"

	"kingcuprill/io/http1"
	"kingcuprill/rpc/operator"
)

const callTimeout = 30 * time.Second

// transport refuses malformed answers: the fields of an empty one would read as an
// acknowledgement.
var transport = http1.NewTransport(http.DefaultTransport.(*http.Transport).Clone())

// tokenTransport is a transport that adds the operator token to each request.
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip sends a copy of the request with the Authorization header set.
func (t tokenTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set("Authorization", "Bearer "+t.token)
	return t.next.RoundTrip(request)
}

// Quarantines returns a client for the quarantine calls at an address of a VM. The token
// may be empty.
func Quarantines(address, token string) operator.Quarantines {
	client := &http.Client{Timeout: callTimeout, Transport: tokenTransport{token: token, next: transport}}
	return operator.NewQuarantinesProtobufClient("http://"+address, client)
}

// Operator returns a client for the operator address (host:port) of a VM. Each call
// has a timeout of 30 seconds.
func Operator(address, token string) operator.Operator {
	client := &http.Client{Timeout: callTimeout, Transport: tokenTransport{token: token, next: transport}}
	return operator.NewOperatorProtobufClient("http://"+address, client)
}
