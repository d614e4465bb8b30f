// Package forward carries requests from their entry VM to a VM of another data
// centre, and the answers back, over signed plain HTTP.
package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/board"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

// Paths of the peer listener.
const (
	GeneratePath = "/forward/generate"
	CallPath     = "/forward/call"
)

// Client sends requests to other VMs.
type Client struct {
	Board *board.Board
	Peers *peer.Peers
}

// Generate runs a generation at another VM and hands its tokens on.
func (c *Client) Generate(ctx context.Context, m membership.Member, request exchange.Request, suspect bool, sink func(exchange.Token) error) (usage exchange.Usage, err error) {
	response, err := c.post(ctx, m, GeneratePath, c.message(request, suspect))
	if err != nil {
		return usage, err
	}
	defer response.Body.Close()
	frames := &frameReader{reader: newReader(response.Body), body: response.Body}
	next := request.Generation.ResumeFrom
	for {
		frame, err := frames.next()
		if err != nil {
			return usage, &exchange.Failure{Err: fmt.Errorf("vm %s: %w", m.ID, err)}
		}
		if frame.GetRequestId() != request.ID {
			return usage, &exchange.Failure{Err: fmt.Errorf("vm %s answered for request %q", m.ID, frame.GetRequestId())}
		}
		if frame.GetErrorCode() != "" {
			return usage, toFailure(frame)
		}
		if frame.GetDone() {
			return exchange.Usage{PromptTokens: int(frame.GetPromptTokens()), CompletionTokens: int(frame.GetCompletionTokens())}, nil
		}
		if int(frame.GetIndex()) != next {
			return usage, &exchange.Failure{Err: fmt.Errorf("vm %s sent token %d, token %d is missing", m.ID, frame.GetIndex(), next)}
		}
		if err := sink(exchange.Token{Index: next, Text: frame.GetText()}); err != nil {
			return usage, &exchange.Failure{Final: true, Err: err}
		}
		next++
	}
}

// Call runs a call to a plain service at another VM.
func (c *Client) Call(ctx context.Context, m membership.Member, request exchange.Request) (answer exchange.Answer, err error) {
	response, err := c.post(ctx, m, CallPath, c.message(request, false))
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	frames := &frameReader{reader: newReader(response.Body), body: response.Body}
	frame, err := frames.next()
	if err != nil {
		return answer, &exchange.Failure{Err: fmt.Errorf("vm %s: %w", m.ID, err)}
	}
	if frame.GetRequestId() != request.ID {
		return answer, &exchange.Failure{Err: fmt.Errorf("vm %s answered for request %q", m.ID, frame.GetRequestId())}
	}
	if frame.GetErrorCode() != "" {
		return answer, toFailure(frame)
	}
	return exchange.Answer{Status: int(frame.GetStatus()), Headers: toHeaders(frame.GetHeaders()), Body: frame.GetBody()}, nil
}

func (c *Client) post(ctx context.Context, m membership.Member, path string, message *vm.ForwardRequest) (*http.Response, error) {
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, &exchange.Failure{NotRun: true, Final: true, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.PeerAddress+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, &exchange.Failure{NotRun: true, Final: true, Err: err}
	}
	// A VM answers with its header at once, before the request runs.
	silent := time.AfterFunc(c.Peers.Timeouts.Peer, cancel)
	response, err := c.Peers.HTTP().Do(request)
	if !silent.Stop() && err == nil {
		response.Body.Close()
		err = errSilent
	}
	if err != nil {
		cancel()
		c.Peers.DropIdle()
		var operation *net.OpError
		dial := errors.As(err, &operation) && operation.Op == "dial"
		return nil, &exchange.Failure{NotRun: dial, Err: err}
	}
	response.Body = cancelledBody{ReadCloser: response.Body, cancel: cancel}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return nil, &exchange.Failure{NotRun: true, Err: fmt.Errorf("vm %s answered status %d: %s", m.ID, response.StatusCode, text)}
	}
	return response, nil
}

// cancelledBody ends its request's context when it is closed.
type cancelledBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and ends the request.
func (b cancelledBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

func (c *Client) message(r exchange.Request, suspect bool) *vm.ForwardRequest {
	m := &vm.ForwardRequest{
		RequestId: r.ID, Organisation: r.Organisation, KeyId: r.KeyID, Route: r.Route.Name, Path: r.Path.String(),
		TimeLeftNanoseconds: int64(time.Until(r.Deadline)), Suspect: suspect,
		CatalogueRevision: c.Board.Catalogue.Read().Revision,
	}
	if g := r.Generation; g != nil {
		m.Model, m.Prompt, m.MaxTokens = g.Model, g.Prompt, int32(g.MaxTokens)
		m.ResumeFrom, m.ResumeText = int32(g.ResumeFrom), g.ResumeText
	}
	if call := r.Call; call != nil {
		m.Method, m.Url, m.Headers, m.Body = call.Method, call.URL, fromHeaders(call.Headers), call.Body
	}
	return m
}

func toFailure(frame *vm.ForwardFrame) error {
	return &exchange.Failure{
		NotRun: frame.GetNotRun(),
		Err:    &fault.Error{Code: fault.Code(frame.GetErrorCode()), Text: frame.GetErrorText()},
	}
}

func fromHeaders(headers []exchange.Header) (rows []*vm.Header) {
	for _, h := range headers {
		rows = append(rows, &vm.Header{Name: h.Name, Value: h.Value})
	}
	return rows
}

func toHeaders(rows []*vm.Header) (headers []exchange.Header) {
	for _, h := range rows {
		headers = append(headers, exchange.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return headers
}
