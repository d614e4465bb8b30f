// Package forward sends requests from their entry VM to a VM of another data
// centre and streams the answers back, over plain HTTP with signed messages. An
// answer is a sequence of length-delimited protocol buffers (frames). The receiving
// VM repeats the checks of the entry VM before it runs a request. Failures tell
// whether the request may have run.
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

	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

// HTTP paths of the peer listener.
const (
	GeneratePath = "/forward/generate"
	CallPath     = "/forward/call"
)

// Client forwards requests to other VMs.
type Client struct {
	VMState *vmstate.State
	Peers   *peer.Peers
}

// Generate runs a generation at VM m and passes its tokens to sink, in order and
// each once. suspect marks a request that may crash its target. Errors are of type
// *exchange.Failure.
func (c *Client) Generate(ctx context.Context, m membership.Member, request exchange.Request, suspect bool, sink func(exchange.Token) error) (usage exchange.Usage, err error) {
	response, err := c.post(ctx, m, GeneratePath, request, suspect)
	if err != nil {
		return usage, err
	}
	defer response.Body.Close()
	frames := newFrameReader(response.Body, request.Route.Repeatable)
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
		if err := sink(exchange.Token{Index: next, Text: frame.GetText(), Version: frame.GetVersion()}); err != nil {
			return usage, &exchange.Failure{Final: true, Err: err}
		}
		next++
	}
}

// Call runs a call to a plain service at VM m. Errors are of type
// *exchange.Failure.
func (c *Client) Call(ctx context.Context, m membership.Member, request exchange.Request) (answer exchange.Answer, err error) {
	response, err := c.post(ctx, m, CallPath, request, false)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	frames := newFrameReader(response.Body, request.Route.Repeatable)
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
	if frame.GetStatus() < http.StatusOK {
		return answer, &exchange.Failure{Err: fmt.Errorf("vm %s: status %d is that of no answer", m.ID, frame.GetStatus())}
	}
	return exchange.Answer{Status: int(frame.GetStatus()), Headers: toHeaders(frame.GetHeaders()), Body: frame.GetBody()}, nil
}

// post sends a request and waits for the response header. The response's body must
// be closed.
func (c *Client) post(ctx context.Context, m membership.Member, path string, forwarded exchange.Request, suspect bool) (*http.Response, error) {
	body, err := proto.Marshal(c.newMessage(forwarded, suspect))
	if err != nil {
		return nil, &exchange.Failure{NotRun: true, Final: true, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.PeerAddress+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, &exchange.Failure{NotRun: true, Final: true, Err: err}
	}
	// A VM sends the response header before it runs the request.
	stopTimer := afterSilence(forwarded.Route.Repeatable, c.Peers.Timeouts.Peer, cancel)
	response, err := c.Peers.HTTP().Do(request)
	if !stopTimer() && err == nil {
		response.Body.Close()
		err = errSilent
	}
	if err != nil {
		cancel()
		c.Peers.DropIdle(m.PeerAddress)
		var operation *net.OpError
		dialFailed := errors.As(err, &operation) && operation.Op == "dial"
		return nil, &exchange.Failure{NotRun: dialFailed, Err: err}
	}
	response.Body = cancelledBody{ReadCloser: response.Body, cancel: cancel}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return nil, &exchange.Failure{NotRun: true, Err: fmt.Errorf("vm %s answered status %d: %s", m.ID, response.StatusCode, text)}
	}
	return response, nil
}

// cancelledBody is a response body that cancels its request when it is closed.
type cancelledBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close cancels the request and closes the body.
func (b cancelledBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// newMessage returns the message for a request. It carries the time left until the
// deadline instead of the deadline, so that it doesn't depend on the other VM's
// clock.
func (c *Client) newMessage(r exchange.Request, suspect bool) *vm.ForwardRequest {
	m := &vm.ForwardRequest{
		RequestId: r.ID, Organisation: r.Organisation, KeyId: r.KeyID, Route: r.Route.Name, Path: r.Path.String(),
		TimeLeftNanoseconds: int64(time.Until(r.Deadline)), Suspect: suspect,
		CatalogueRevision: c.VMState.Catalogue.Read().Revision,
	}
	if g := r.Generation; g != nil {
		m.Model, m.Prompt, m.MaxTokens = g.Model, g.Prompt, int32(g.MaxTokens)
		m.ResumeFrom, m.ResumeText = int32(g.ResumeFrom), g.ResumeText
		if g.SameVersion {
			m.Version = &g.Version
		}
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

func fromHeaders(headers []exchange.Header) (messages []*vm.Header) {
	for _, h := range headers {
		messages = append(messages, &vm.Header{Name: h.Name, Value: h.Value})
	}
	return messages
}

func toHeaders(messages []*vm.Header) (headers []exchange.Header) {
	for _, h := range messages {
		headers = append(headers, exchange.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return headers
}
