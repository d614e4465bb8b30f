package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"kingcuprill/core/access"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/hops"
	"kingcuprill/core/residency"
	"kingcuprill/core/vmstate"
	"kingcuprill/rpc/vm"
)

// Runner runs requests at targets of this VM.
type Runner interface {
	Generate(ctx context.Context, request exchange.Request, suspect bool, sink func(exchange.Token) error) (exchange.Usage, error)
	Call(ctx context.Context, request exchange.Request) (exchange.Answer, error)
}

// Server handles requests that other VMs forward.
type Server struct {
	VMState *vmstate.State
	Runner  Runner
	// Enter registers a running request under its key, so that it is cancelled when
	// the key is withdrawn. It returns the request's context and a function to call
	// when the request ends.
	Enter func(ctx context.Context, keyID string) (context.Context, func())
}

// ServeGenerate handles POST /forward/generate. It writes one frame for each token
// and a last one with the usage or the error.
func (s *Server) ServeGenerate(w http.ResponseWriter, r *http.Request) {
	request, message, err := s.admit(r)
	writer := newFrameWriter(w, message.GetRequestId())
	if err != nil {
		writer.fail(err)
		return
	}
	ctx, leave := s.Enter(r.Context(), request.KeyID)
	defer leave()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	stop := writer.begin()
	usage, err := s.Runner.Generate(ctx, request, message.GetSuspect(), func(t exchange.Token) error {
		return writer.write(&vm.ForwardFrame{Index: int32(t.Index), Text: t.Text, Version: t.Version})
	})
	stop()
	if err != nil {
		writer.fail(err)
		return
	}
	_ = writer.write(&vm.ForwardFrame{Done: true, PromptTokens: int32(usage.PromptTokens), CompletionTokens: int32(usage.CompletionTokens)})
}

// ServeCall handles POST /forward/call. It writes one frame with the answer or the
// error.
func (s *Server) ServeCall(w http.ResponseWriter, r *http.Request) {
	request, message, err := s.admit(r)
	writer := newFrameWriter(w, message.GetRequestId())
	if err != nil {
		writer.fail(err)
		return
	}
	ctx, leave := s.Enter(r.Context(), request.KeyID)
	defer leave()
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	stop := writer.begin()
	answer, err := s.Runner.Call(ctx, request)
	stop()
	if err != nil {
		writer.fail(err)
		return
	}
	_ = writer.write(&vm.ForwardFrame{Status: int32(answer.Status), Headers: fromHeaders(answer.Headers), Body: answer.Body})
}

// admit decodes a request and repeats the checks of the entry VM: the path of VMs,
// the route, the key and the residency. Its errors tell that the request has not
// run.
func (s *Server) admit(r *http.Request) (request exchange.Request, message *vm.ForwardRequest, err error) {
	message = &vm.ForwardRequest{}
	defer func() {
		if err != nil {
			err = &exchange.Failure{NotRun: true, Err: err}
		}
	}()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return request, message, err
	}
	if err := proto.Unmarshal(body, message); err != nil {
		return request, message, fault.New(fault.Invalid, "the forwarded request is not valid: %v", err)
	}
	request = toRequest(message)
	waiting, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	if err := s.awaitRevision(waiting, message.GetCatalogueRevision()); err != nil {
		return request, message, err
	}
	if request.Path, err = hops.ParsePath(message.GetPath()).Arrive(s.VMState.Self); err != nil {
		return request, message, err
	}
	c := s.VMState.Catalogue.Read()
	route, found := c.Routes[message.GetRoute()]
	if !found {
		return request, message, fault.New(fault.NotFound, "route %q is not known at VM %s", message.GetRoute(), s.VMState.Self)
	}
	request.Route = route
	if err := access.CheckForwarded(s.VMState, route, request.Organisation, request.KeyID); err != nil {
		return request, message, err
	}
	if !residency.Of(c, request.Organisation, route.Name).Allows(s.VMState.Region) {
		return request, message, fault.New(fault.Residency, "residency rules don't allow the forwarded request to be served in region %q", s.VMState.Region)
	}
	return request, message, nil
}

// revisionTimeout is how long a VM waits for the catalogue by which the sender has checked a
// request: about the time in which a change reaches all VMs that are connected.
const revisionTimeout = 300 * time.Millisecond

// awaitRevision waits until this VM has a catalogue that isn't older than the sender's: it
// may know routes and residency rules that are no longer in force.
func (s *Server) awaitRevision(ctx context.Context, revision uint64) error {
	timeout := time.After(revisionTimeout)
	for {
		changed := s.VMState.Catalogue.Changed()
		known := s.VMState.Catalogue.Read().Revision
		if known >= revision {
			return nil
		}
		select {
		case <-changed:
		case <-timeout:
			return fault.New(fault.NoTarget, "VM %s has catalogue revision %d, the forwarded request was checked by revision %d; send it to another VM", s.VMState.Self, known, revision)
		case <-ctx.Done():
			return fault.New(fault.Deadline, "the forwarded request ended before VM %s had catalogue revision %d", s.VMState.Self, revision)
		}
	}
}

func toRequest(m *vm.ForwardRequest) exchange.Request {
	r := exchange.Request{
		ID: m.GetRequestId(), Organisation: m.GetOrganisation(), KeyID: m.GetKeyId(),
		Deadline: time.Now().Add(time.Duration(m.GetTimeLeftNanoseconds())),
	}
	if m.GetModel() != "" {
		r.Generation = &exchange.Generation{
			Model: m.GetModel(), Prompt: m.GetPrompt(), MaxTokens: int(m.GetMaxTokens()),
			ResumeFrom: int(m.GetResumeFrom()), ResumeText: m.GetResumeText(),
			SameVersion: m.Version != nil, Version: m.GetVersion(),
		}
		return r
	}
	r.Call = &exchange.Call{Method: m.GetMethod(), URL: m.GetUrl(), Headers: toHeaders(m.GetHeaders()), Body: m.GetBody()}
	return r
}

// frameWriter writes frames. It is safe for concurrent use.
type frameWriter struct {
	mu        sync.Mutex
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	lastWrite time.Time
}

func newFrameWriter(w http.ResponseWriter, requestID string) *frameWriter {
	w.Header().Set("Content-Type", "application/octet-stream")
	return &frameWriter{w: w, control: http.NewResponseController(w), requestID: requestID}
}

func (f *frameWriter) write(frame *vm.ForwardFrame) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastWrite = time.Now()
	frame.RequestId = f.requestID
	if _, err := protodelim.MarshalTo(f.w, frame); err != nil {
		return err
	}
	return f.control.Flush()
}

// fail writes the frame of an error, which is the last one.
func (f *frameWriter) fail(err error) {
	_ = f.write(&vm.ForwardFrame{ErrorCode: string(fault.CodeOf(err)), ErrorText: err.Error(), NotRun: exchange.NotRun(err)})
}

// begin sends the response header, and then a keep-alive frame whenever nothing
// else was written for keepAliveInterval. stop waits until no more are written.
func (f *frameWriter) begin() (stop func()) {
	_ = f.control.Flush()
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(keepAliveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if f.idle() {
					_ = f.write(&vm.ForwardFrame{Status: keepAliveStatus})
				}
			}
		}
	})
	return func() { close(done); group.Wait() }
}

func (f *frameWriter) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastWrite) >= keepAliveInterval
}
