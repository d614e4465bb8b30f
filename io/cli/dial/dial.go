// Package dial makes the client of the operators' schema.
package dial

import (
	"net/http"
	"time"

	"kingcuprill/rpc/operator"
)

const callTimeout = 30 * time.Second

type authorized struct {
	token string
	next  http.RoundTripper
}

// RoundTrip adds the operator token to a call.
func (a authorized) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set("Authorization", "Bearer "+a.token)
	return a.next.RoundTrip(request)
}

// Operator returns a client for the operator address of a VM.
func Operator(address, token string) operator.Operator {
	client := &http.Client{Timeout: callTimeout, Transport: authorized{token: token, next: http.DefaultTransport}}
	return operator.NewOperatorProtobufClient("http://"+address, client)
}
