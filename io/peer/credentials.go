// Package peer is the client side of the calls between VMs, which are Twirp calls over
// HTTP. Requests are signed with a secret that all VMs of a cluster share. The package
// also checks signatures on the server side and maps errors to Twirp errors and back.
//
// A signature authenticates the sender and protects the request from changes. It
// doesn't encrypt, doesn't cover the answer, and doesn't prevent a replay while it is
// valid.
package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kingcuprill/core/fault"
)

const (
	signatureHeader = "Kingcuprill-Signature"
	// maxSignatureAge is the largest difference between the time of a signature and this
	// VM's clock. It allows for clocks that differ and links that are slow.
	maxSignatureAge = 5 * time.Minute
)

// Credentials sign and check the requests between VMs with the cluster's shared
// secret, by HMAC-SHA256.
type Credentials struct {
	VM     string
	Secret []byte
}

// Sign adds a header with a signature over method, path, VM id, time and body.
func (c Credentials) Sign(request *http.Request, body []byte) {
	timestamp := strconv.FormatInt(time.Now().UnixNano(), 10)
	mac := c.mac(request.Method, request.URL.Path, c.VM, timestamp, body)
	request.Header.Set(signatureHeader, c.VM+":"+timestamp+":"+mac)
}

func (c Credentials) mac(method, path, vm, timestamp string, body []byte) string {
	bodyHash := sha256.Sum256(body)
	mac := hmac.New(sha256.New, c.Secret)
	mac.Write([]byte(strings.Join([]string{method, path, vm, timestamp, hex.EncodeToString(bodyHash[:])}, "\n")))
	return hex.EncodeToString(mac.Sum(nil))
}

// Check verifies the signature of a request and returns the id of the VM that made
// it. The error has the code fault.Unauthenticated.
func (c Credentials) Check(request *http.Request, body []byte) (vm string, err error) {
	parts := strings.Split(request.Header.Get(signatureHeader), ":")
	if len(parts) != 3 {
		return "", fault.New(fault.Unauthenticated, "the request has no signature of a VM")
	}
	want := c.mac(request.Method, request.URL.Path, parts[0], parts[1], body)
	if !hmac.Equal([]byte(want), []byte(parts[2])) {
		return "", fault.New(fault.Unauthenticated, "the signature of VM %q does not match the request; check that both VMs have the same cluster secret", parts[0])
	}
	nanoseconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || time.Since(time.Unix(0, nanoseconds)).Abs() > maxSignatureAge {
		return "", fault.New(fault.Unauthenticated, "the time of the signature of VM %q differs from this VM's clock by more than %v; check the clocks of both VMs", parts[0], maxSignatureAge)
	}
	return parts[0], nil
}

// Middleware passes on requests with a valid signature and a body of at most maxBody
// bytes. It answers a larger body with status 413 and a wrong signature with 401.
func (c Credentials) Middleware(maxBody int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBody))
		if err != nil {
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				http.Error(w, "the body of the request is too large", http.StatusRequestEntityTooLarge)
			}
			return
		}
		if _, err := c.Check(request, body); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, request)
	})
}

// callPrefix begins the paths of all remote procedure calls.
const callPrefix = "/twirp/"

// signingTransport is an http.RoundTripper that signs each request.
type signingTransport struct {
	credentials Credentials
	next        http.RoundTripper
}

// CloseIdleConnections forwards the call of http.Client to the wrapped transport.
func (s signingTransport) CloseIdleConnections() {
	if closer, able := s.next.(interface{ CloseIdleConnections() }); able {
		closer.CloseIdleConnections()
	}
}

// omitHeaders removes headers that no VM reads. At a peak, there are more calls between VMs
// than requests, and a call's headers are longer than its body.
func omitHeaders(header http.Header) {
	header.Del("Accept")
	header.Del("Twirp-Version")
	header["User-Agent"] = nil
}

// RoundTrip signs and sends a request. It reads the whole body into memory. The answer to a
// call is bounded, as clients read it whole; streams of other paths are not.
func (s signingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		var err error
		body, err = io.ReadAll(request.Body)
		request.Body.Close()
		if err != nil {
			return nil, err
		}
	}
	signed := request.Clone(request.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	omitHeaders(signed.Header)
	s.credentials.Sign(signed, body)
	response, err := s.next.RoundTrip(signed)
	if err == nil && strings.HasPrefix(request.URL.Path, callPrefix) {
		response.Body = http.MaxBytesReader(nil, response.Body, maxAnswer)
	}
	return response, err
}
