// Package service is the HTTP client of plain services: targets that are called
// with one request and one answer, unlike model engines. It sends each call once;
// a failure tells whether the call may have run.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"

	"kingcuprill/core/bytebudget"
	"kingcuprill/core/exchange"
	"kingcuprill/core/target"
	"kingcuprill/io/http1"
	"kingcuprill/io/settings"
)

// OrganisationHeader carries the organisation's name if the route is set to send
// it.
const OrganisationHeader = "Kingcuprill-Organisation"

// maxHead bounds the head of an answer, in bytes.
const maxHead = 256 << 10

// Client calls plain services, each call over a new connection: a reused one may
// have broken unnoticed, and then it would be unknown whether the call ran. It is
// safe for concurrent use.
type Client struct {
	http      *http.Client
	maxAnswer int64 // bytes
	budget    *bytebudget.Budget
}

// NewClient returns a client. All answers share the budget.
func NewClient(timeouts settings.Timeouts, limits settings.Limits, budget *bytebudget.Budget) *Client {
	dialer := &net.Dialer{Timeout: timeouts.Dial}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHead}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		http:      &http.Client{Transport: http1.NewTransport(transport), CheckRedirect: noRedirect},
		maxAnswer: limits.MaxAnswerBytes,
		budget:    budget,
	}
}

// Do calls a service and reads the whole answer. organisation is empty if it isn't
// sent. onHead is called with the head of the answer. Errors are of type *exchange.Failure, which tells whether the call may have
// run.
func (c *Client) Do(ctx context.Context, t *target.Target, exchangeID, organisation string, call exchange.Call, onHead func(http.Header)) (answer exchange.Answer, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, "http://"+t.Address+call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return answer, &exchange.Failure{NotRun: true, Final: true, Err: err}
	}
	for _, h := range call.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set(exchange.IDHeader, exchangeID)
	if organisation != "" {
		request.Header.Set(OrganisationHeader, organisation)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer, &exchange.Failure{NotRun: !connected.Load(), Err: err}
	}
	defer response.Body.Close()
	if echoed := response.Header.Get(exchange.IDHeader); echoed != "" && echoed != exchangeID {
		return answer, &exchange.Failure{Err: fmt.Errorf("the answer belongs to exchange %q", echoed)}
	}
	onHead(response.Header)
	return c.read(ctx, t.ID, response)
}

// read reads an answer of at most limits.max_answer_bytes. It counts against the budget until
// the call's context ends.
func (c *Client) read(ctx context.Context, targetID string, response *http.Response) (answer exchange.Answer, err error) {
	loan := c.budget.Open(targetID, func() { response.Body.Close() })
	body, err := bytebudget.ReadWhole(response.Body, response.ContentLength, c.maxAnswer, loan)
	if errors.Is(err, bytebudget.ErrTooLarge) {
		return answer, &exchange.Failure{Final: true, Err: fmt.Errorf("limits.max_answer_bytes: %w", err)}
	}
	if err != nil {
		return answer, &exchange.Failure{Err: err}
	}
	context.AfterFunc(ctx, body.Close)
	answer = exchange.Answer{Status: response.StatusCode, Body: body.Bytes()}
	answer.Headers = EndToEnd(response.Header)
	return answer, nil
}

// hopByHop are the headers that apply to one connection only (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// withheld are the headers that are passed on neither to a target nor to a caller:
// credentials and the gateway's own.
var withheld = []string{"Authorization", "X-Api-Key", "Cookie", exchange.IDHeader, OrganisationHeader}

// EndToEnd returns the headers that are passed on: neither hop-by-hop headers, nor
// those that could carry a caller's credentials, nor the gateway's own.
func EndToEnd(header http.Header) (kept []exchange.Header) {
	named := []string{}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range header {
		canonical := http.CanonicalHeaderKey(name)
		if slices.Contains(hopByHop, canonical) || slices.Contains(withheld, canonical) || slices.Contains(named, canonical) {
			continue
		}
		for _, value := range values {
			kept = append(kept, exchange.Header{Name: canonical, Value: value})
		}
	}
	return kept
}
