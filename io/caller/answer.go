package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"kingcuprill/core/exchange"
)

type usageJSON struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choiceJSON struct {
	Index        int          `json:"index"`
	Delta        *messageJSON `json:"delta,omitempty"`
	Message      *messageJSON `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completionJSON struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceJSON `json:"choices"`
	Usage   *usageJSON   `json:"usage,omitempty"`
}

// answerWriter writes one completion, as a stream of server-sent events or as one
// JSON document.
type answerWriter struct {
	in      *incomingRequest
	chat    bool
	stream  bool
	model   string
	text    strings.Builder
	count   int  // tokens received
	started bool // the status has been written
	control *http.ResponseController
}

func newAnswerWriter(in *incomingRequest, chat, stream bool, model string) *answerWriter {
	return &answerWriter{in: in, chat: chat, stream: stream, model: model, control: http.NewResponseController(in.w)}
}

func (a *answerWriter) token(t exchange.Token) error {
	a.count++
	if !a.stream {
		a.text.WriteString(t.Text)
		return nil
	}
	return a.event(a.chunk(t.Text, nil, nil))
}

func (a *answerWriter) chunk(text string, finish *string, usage *usageJSON) completionJSON {
	choice := choiceJSON{FinishReason: finish}
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
		choice.Delta = &messageJSON{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return a.completion(object, choice, usage)
}

func (a *answerWriter) completion(object string, choice choiceJSON, usage *usageJSON) completionJSON {
	return completionJSON{
		ID: a.in.id, Object: object, Created: a.in.started.Unix(), Model: a.model,
		Choices: []choiceJSON{choice}, Usage: usage,
	}
}

func (a *answerWriter) event(content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	return a.line(data)
}

func (a *answerWriter) line(data []byte) error {
	if !a.started {
		a.started = true
		a.in.w.Header().Set("Content-Type", "text/event-stream")
		a.in.w.Header().Set("Cache-Control", "no-store")
		a.in.w.WriteHeader(http.StatusOK)
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	line := append(append([]byte("data: "), data...), '\n', '\n')
	if _, err := a.in.w.Write(line); err != nil {
		return err
	}
	return a.control.Flush()
}

// writeTimeout bounds one write of an event to a caller that doesn't read.
const writeTimeout = 30 * time.Second

func (a *answerWriter) finish(usage exchange.Usage) error {
	stop := "stop"
	total := &usageJSON{
		PromptTokens: usage.PromptTokens, CompletionTokens: usage.CompletionTokens,
		TotalTokens: usage.PromptTokens + usage.CompletionTokens,
	}
	if a.stream {
		if err := a.event(a.chunk("", &stop, total)); err != nil {
			return notWritten(err)
		}
		return notWritten(a.line([]byte("[DONE]")))
	}
	text := a.text.String()
	choice := choiceJSON{FinishReason: &stop}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		choice.Message = &messageJSON{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	a.in.w.Header().Set("Content-Type", "application/json")
	return notWritten(json.NewEncoder(a.in.w).Encode(a.completion(object, choice, total)))
}

// fail ends a completion with an error. A stream that has begun gets the error as
// its last event and no [DONE], so that the caller can tell that it is incomplete.
func (a *answerWriter) fail(err error) error {
	if !a.started {
		return err
	}
	_ = a.event(errorJSON{Error: errorBody(err)})
	return &startedError{err: err}
}

// startedError is an error after the status of the response was written.
type startedError struct {
	err error
}

// Error returns the text of the cause.
func (b *startedError) Error() string {
	return b.err.Error()
}

// Unwrap returns the cause.
func (b *startedError) Unwrap() error {
	return b.err
}

// notWritten returns the error of an answer whose last write has failed with err, or nil.
func notWritten(err error) error {
	if err == nil {
		return nil
	}
	return &startedError{err: fmt.Errorf("%w: %w", errNotWritten, err)}
}
