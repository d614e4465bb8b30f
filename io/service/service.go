// Package service is the client of plain services behind routes.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"

	"kingcuprill/core/exchange"
	"kingcuprill/core/target"
	"kingcuprill/io/settings"
)

// ExchangeHeader carries the id of an exchange. A service that repeats it lets
// the VM notice a crossed answer.
const ExchangeHeader = "Kingcuprill-Exchange-Id"

// OrganisationHeader carries the organisation's name where the route says so.
const OrganisationHeader = "Kingcuprill-Organisation"

// Client calls plain services, each call over a fresh connection: a reused one
// may have been lost on the way, and then nobody knows whether a call ran.
type Client struct {
	http      *http.Client
	maxAnswer int64 // bytes
}

// NewClient returns a client.
func NewClient(timeouts settings.Timeouts, limits settings.Limits) *Client {
	dialer := &net.Dialer{Timeout: timeouts.Dial}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		http:      &http.Client{Transport: transport, CheckRedirect: noRedirect},
		maxAnswer: limits.MaxAnswerBytes,
	}
}

// Do calls a service and reads its whole answer. An exchange.Failure tells
// whether the call may have run.
func (c *Client) Do(ctx context.Context, row *target.Target, exchangeID, organisation string, call exchange.Call) (answer exchange.Answer, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, "http://"+row.Address+call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return answer, &exchange.Failure{NotRun: true, Final: true, Err: err}
	}
	for _, h := range call.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set(ExchangeHeader, exchangeID)
	if organisation != "" {
		request.Header.Set(OrganisationHeader, organisation)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, &exchange.Failure{NotRun: !connected.Load(), Err: err}
	}
	defer response.Body.Close()
	if echoed := response.Header.Get(ExchangeHeader); echoed != "" && echoed != exchangeID {
		return answer, &exchange.Failure{Err: fmt.Errorf("the answer belongs to exchange %q", echoed)}
	}
	return c.read(response)
}

func (c *Client) read(response *http.Response) (answer exchange.Answer, err error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, c.maxAnswer+1))
	if err != nil {
		return answer, &exchange.Failure{Err: err}
	}
	if int64(len(body)) > c.maxAnswer {
		return answer, &exchange.Failure{Final: true, Err: errors.New("the answer is larger than limits.max_answer_bytes")}
	}
	answer = exchange.Answer{Status: response.StatusCode, Body: body}
	answer.Headers = EndToEnd(response.Header)
	return answer, nil
}

// hopByHop are the headers that concern one connection only (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// private are the headers that never reach a target or a caller.
var private = []string{"Authorization", "X-Api-Key", "Cookie", ExchangeHeader, OrganisationHeader}

// EndToEnd returns the headers that are passed on: not those of one hop, and
// none that could carry a caller's key.
func EndToEnd(header http.Header) (kept []exchange.Header) {
	named := []string{}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range header {
		canonical := http.CanonicalHeaderKey(name)
		if slices.Contains(hopByHop, canonical) || slices.Contains(private, canonical) || slices.Contains(named, canonical) {
			continue
		}
		for _, value := range values {
			kept = append(kept, exchange.Header{Name: canonical, Value: value})
		}
	}
	return kept
}
