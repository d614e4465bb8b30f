// Package peer is the client side of the calls between VMs: signatures,
// connections and addresses.
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
	// signatureAge is how old a signed request may be. It covers clocks that
	// differ and links that are slow.
	signatureAge = 5 * time.Minute
)

// Credentials sign and check the requests between VMs with the cluster's
// shared secret.
type Credentials struct {
	VM     string
	Secret []byte
}

// Sign adds a signature over method, path, time, VM and body.
func (c Credentials) Sign(request *http.Request, body []byte) {
	stamp := strconv.FormatInt(time.Now().UnixNano(), 10)
	mac := c.mac(request.Method, request.URL.Path, c.VM, stamp, body)
	request.Header.Set(signatureHeader, c.VM+":"+stamp+":"+mac)
}

func (c Credentials) mac(method, path, vm, stamp string, body []byte) string {
	sum := sha256.Sum256(body)
	mac := hmac.New(sha256.New, c.Secret)
	mac.Write([]byte(strings.Join([]string{method, path, vm, stamp, hex.EncodeToString(sum[:])}, "\n")))
	return hex.EncodeToString(mac.Sum(nil))
}

// Check verifies a signature and returns the VM that made it.
func (c Credentials) Check(request *http.Request, body []byte) (vm string, err error) {
	parts := strings.Split(request.Header.Get(signatureHeader), ":")
	if len(parts) != 3 {
		return "", fault.New(fault.Unauthenticated, "the request has no signature of a VM")
	}
	want := c.mac(request.Method, request.URL.Path, parts[0], parts[1], body)
	if !hmac.Equal([]byte(want), []byte(parts[2])) {
		return "", fault.New(fault.Unauthenticated, "the signature of VM %q is wrong", parts[0])
	}
	nanoseconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || time.Since(time.Unix(0, nanoseconds)).Abs() > signatureAge {
		return "", fault.New(fault.Unauthenticated, "the signature of VM %q is older than %v; check the clocks", parts[0], signatureAge)
	}
	return parts[0], nil
}

// Middleware lets only signed requests through, with bodies up to a size in
// bytes.
func (c Credentials) Middleware(maxBody int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBody))
		if err != nil {
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
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

// signing is a transport that signs each request.
type signing struct {
	credentials Credentials
	next        http.RoundTripper
}

// CloseIdleConnections passes the call of http.Client on to the connections.
func (s signing) CloseIdleConnections() {
	if closer, able := s.next.(interface{ CloseIdleConnections() }); able {
		closer.CloseIdleConnections()
	}
}

// RoundTrip signs and sends a request.
func (s signing) RoundTrip(request *http.Request) (*http.Response, error) {
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
	s.credentials.Sign(signed, body)
	return s.next.RoundTrip(signed)
}
