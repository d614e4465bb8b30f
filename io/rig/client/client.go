// Package client is an HTTP client of the gateway's caller interface, for tests
// and experiments. It streams completions, calls plain services and lists the
// entry VMs.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Client calls entry VMs with one API key.
type Client struct {
	Key  string // empty: no Authorization header
	HTTP *http.Client
}

// New returns a client with an API key.
func New(key string) *Client {
	return &Client{Key: key, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Refusal is an error answer of the gateway.
type Refusal struct {
	Status     int
	Code       string
	Message    string
	NotRun     bool // the request has certainly not run at a target
	RetryAfter time.Duration
}

// Error returns the message with its status and code.
func (r *Refusal) Error() string {
	return fmt.Sprintf("status %d, code %s, not_run %t: %s", r.Status, r.Code, r.NotRun, r.Message)
}

// ErrIncomplete means that a stream ended without its [DONE] event.
var ErrIncomplete = errors.New("the stream ended before its [DONE] event")

// Answer is a completion with its timing. After an error it holds the part that
// came.
type Answer struct {
	Text       string
	FirstToken time.Duration   // since the request
	Took       time.Duration   // since the request, to the end of the answer
	Gaps       []time.Duration // between tokens
}

type chunkJSON struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		NotRun  bool   `json:"not_run"`
	} `json:"error"`
}

type completionJSON struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Complete requests a streamed completion of a model and reads it to its end.
// Token, if set, is called after each piece with the number of pieces so far.
// Errors are a *Refusal, ErrIncomplete, or a failure of the connection.
func (c *Client) Complete(ctx context.Context, address, model, prompt string, maxTokens int, token func(count int)) (answer Answer, err error) {
	body, err := json.Marshal(completionJSON{Model: model, Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return answer, err
	}
	started := time.Now()
	response, err := c.Do(ctx, http.MethodPost, address, "/v1/completions", bytes.NewReader(body), nil)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, readRefusal(response)
	}
	err = answer.read(response.Body, started, token)
	answer.Took = time.Since(started)
	return answer, err
}

func (a *Answer) read(body io.Reader, started time.Time, token func(count int)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), 1<<20)
	count, last := 0, started
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var chunk chunkJSON
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if chunk.Error != nil {
			return &Refusal{Status: http.StatusOK, Code: chunk.Error.Code, Message: chunk.Error.Message, NotRun: chunk.Error.NotRun}
		}
		piece := chunk.Choices[0].Text + chunk.Choices[0].Delta.Content
		if piece == "" {
			continue
		}
		text.WriteString(piece)
		count++
		if count == 1 {
			a.FirstToken = time.Since(started)
		} else {
			a.Gaps = append(a.Gaps, time.Since(last))
		}
		last = time.Now()
		if token != nil {
			token(count)
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return ErrIncomplete
}

// Do sends a request with the API key. The caller closes the body of the answer.
func (c *Client) Do(ctx context.Context, method, address, path string, body io.Reader, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	return c.HTTP.Do(request)
}

// Call sends a JSON body to a plain service and returns the status and body of
// the answer. An error status comes with a *Refusal.
func (c *Client) Call(ctx context.Context, method, address, path, idempotencyKey, body string) (status int, answer string, err error) {
	header := http.Header{"Content-Type": {"application/json"}}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := c.Do(ctx, method, address, path, strings.NewReader(body), header)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return response.StatusCode, "", readRefusal(response)
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// VM is one entry VM in the gateway's list.
type VM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Region  string `json:"region"`
}

type vmsJSON struct {
	VMs []VM `json:"vms"`
}

// VMs lists the entry VMs that the key's callers should use, the first choice
// first. An error status comes as a *Refusal.
func (c *Client) VMs(ctx context.Context, address string) (vms []VM, err error) {
	response, err := c.Do(ctx, http.MethodGet, address, "/v1/vms", nil, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, readRefusal(response)
	}
	var answer vmsJSON
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.VMs, err
}

func readRefusal(response *http.Response) error {
	var chunk chunkJSON
	refusal := &Refusal{Status: response.StatusCode}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	data, _ := io.ReadAll(response.Body)
	if json.Unmarshal(data, &chunk) == nil && chunk.Error != nil {
		refusal.Code, refusal.Message, refusal.NotRun = chunk.Error.Code, chunk.Error.Message, chunk.Error.NotRun
	} else {
		refusal.Message = string(data)
	}
	return refusal
}
