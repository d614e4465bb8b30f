package caller

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"kingcuprill/core/bytebudget"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/io/dispatch"
)

type messageJSON struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequestJSON struct {
	Model               string        `json:"model"`
	Messages            []messageJSON `json:"messages"`
	Prompt              string        `json:"prompt"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

const (
	defaultMaxTokens = 256 // if the request sets no limit
	bytesPerToken    = 4   // for estimates
)

func (s *Server) chat(in *incomingRequest) error {
	return s.complete(in, true)
}

func (s *Server) completion(in *incomingRequest) error {
	return s.complete(in, false)
}

// complete handles a completion request.
func (s *Server) complete(in *incomingRequest, chat bool) error {
	generation, stream, err := s.parse(in, chat)
	if err != nil {
		return err
	}
	route, found := s.VMState.Catalogue.Read().RouteByModel(generation.Model)
	if !found {
		return fault.New(fault.NotFound, "model: %q is served by no route", generation.Model)
	}
	if err := s.admit(in, route); err != nil {
		return err
	}
	request := s.request(in)
	request.Generation = &generation
	if s.VMState.Quarantine.Judge(dispatch.Identity(request)).Refused {
		return &exchange.Failure{NotRun: true, Err: dispatch.ErrQuarantined}
	}
	ctx, leave := s.enter(in, request.Deadline)
	defer leave()
	promptTokens := estimateTokens(generation.Prompt)
	reservation, err := s.Reserver.Reserve(ctx, in.key.Organisation, promptTokens+generation.MaxTokens)
	if err != nil {
		return contextFailure(ctx, err)
	}
	writer := newAnswerWriter(in, chat, stream, generation.Model)
	usage, err := s.Dispatcher.Generate(ctx, request, false, func(t exchange.Token) error {
		if t.Index == 0 {
			s.Metrics.FirstToken.Update(time.Since(in.started))
		}
		return writer.token(t)
	})
	in.used = usedTokens(writer, usage, promptTokens, err)
	if reservation != nil {
		reservation.Settle(float64(in.used))
	}
	s.Metrics.AdmittedTokens.Inc(int64(in.used))
	if err != nil {
		return writer.fail(contextFailure(ctx, err))
	}
	return writer.finish(usage)
}

// usedTokens returns the tokens to charge for a request: 0 if it has certainly not
// run, and an estimate if it failed later.
func usedTokens(w *answerWriter, usage exchange.Usage, promptTokens int, err error) int {
	if err == nil {
		return usage.PromptTokens + usage.CompletionTokens
	}
	if exchange.NotRun(err) {
		return 0
	}
	return promptTokens + w.count
}

func estimateTokens(text string) int {
	return len(text)/bytesPerToken + 1
}

// parse reads and validates the body of a completion request.
func (s *Server) parse(in *incomingRequest, chat bool) (generation exchange.Generation, stream bool, err error) {
	data, err := s.readBody(in)
	if err != nil {
		return generation, false, err
	}
	request, err := parseCompletion(data, chat)
	if err != nil {
		return generation, false, err
	}
	maxTokens := request.MaxTokens
	if request.MaxCompletionTokens != 0 {
		maxTokens = request.MaxCompletionTokens
	}
	if maxTokens == 0 {
		maxTokens = min(defaultMaxTokens, s.Limits.MaxTokens)
	}
	if maxTokens < 0 || maxTokens > s.Limits.MaxTokens {
		return generation, false, fault.New(fault.Invalid, "max_tokens: %d must be from 1 to %d", maxTokens, s.Limits.MaxTokens)
	}
	generation = exchange.Generation{Model: request.Model, Prompt: request.Prompt, MaxTokens: maxTokens}
	return generation, request.Stream, nil
}

// parseCompletion decodes and validates a request. The prompt of a chat becomes
// its messages, one a line, each after its role.
func parseCompletion(data []byte, chat bool) (request completionRequestJSON, err error) {
	if err := json.Unmarshal(data, &request); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return request, fault.New(fault.Invalid, "%s: a JSON %s is not allowed; it must be a %s", wrongType.Field, wrongType.Value, wrongType.Type)
		}
		return request, fault.New(fault.Invalid, "the body is not valid JSON: %v", err)
	}
	if request.Model == "" {
		return request, fault.New(fault.Invalid, "model: it must be set")
	}
	if !chat {
		if request.Prompt == "" {
			return request, fault.New(fault.Invalid, "prompt: it must be set")
		}
		return request, nil
	}
	if len(request.Messages) == 0 {
		return request, fault.New(fault.Invalid, "messages: at least one message is needed")
	}
	var prompt strings.Builder
	for _, m := range request.Messages {
		prompt.WriteString(m.Role + ": " + m.Content + "\n")
	}
	request.Prompt = prompt.String()
	return request, nil
}

// bodyTimeout bounds how long a caller may take to send the body.
const bodyTimeout = 30 * time.Second

// readBody reads the body within bodyTimeout and limits.max_body_bytes. It is refused, before
// it is read if its length is known, if all bodies together would take more than
// limits.max_bodies_bytes, or those of its organisation or host more than is left for others.
func (s *Server) readBody(in *incomingRequest) (data []byte, err error) {
	control := http.NewResponseController(in.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	length := in.r.ContentLength
	in.loan = s.Bodies.Open(bodyOwner(in), nil)
	if length <= s.Limits.MaxBodyBytes {
		err = in.loan.Reserve(length + 1) // as much as its reader allocates
	}
	if err != nil {
		return nil, bodyFailure(err)
	}
	body, err := bytebudget.ReadWhole(http.MaxBytesReader(in.w, in.r.Body, s.Limits.MaxBodyBytes), length, s.Limits.MaxBodyBytes, in.loan)
	var beyondLimit *http.MaxBytesError
	if errors.As(err, &beyondLimit) || errors.Is(err, bytebudget.ErrTooLarge) {
		return nil, fault.New(fault.Invalid, "the body is larger than limits.max_body_bytes (%d bytes)", s.Limits.MaxBodyBytes)
	}
	if err != nil {
		return nil, bodyFailure(err)
	}
	return body.Bytes(), nil
}

// bodyFailure returns the error for a body that was not read.
func bodyFailure(err error) error {
	if errors.Is(err, bytebudget.ErrUsedUp) {
		return &exchange.Failure{NotRun: true, Err: fault.New(fault.Overloaded, "the bodies of requests take too much memory of this VM; try again later")}
	}
	return fault.New(fault.Invalid, "the body could not be read: %v", err)
}

// bodyOwner returns whose share of the memory for bodies the request takes.
func bodyOwner(in *incomingRequest) string {
	if in.key.Organisation != "" {
		return "organisation " + in.key.Organisation
	}
	host, _, _ := net.SplitHostPort(in.r.RemoteAddr)
	return "host " + host
}
