// Package engine is the client of model engines: streamed completions with
// priority, cancel and resume. Every event repeats the id of its exchange; an
// event of another exchange is dropped.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/target"
	"kingcuprill/io/settings"
)

const (
	maxEventBytes  = 1 << 20
	probeTimeout   = time.Second
	maxIdlePerHost = 64 // connections
)

// errSilent tells that a connection carries nothing although the engine works.
var errSilent = errors.New("the connection went silent")

// Client calls model engines.
type Client struct {
	timeouts settings.Timeouts
	pooled   *http.Client
	fresh    *http.Client // a new connection for each call
}

// NewClient returns a client.
func NewClient(timeouts settings.Timeouts) *Client {
	dialer := &net.Dialer{Timeout: timeouts.Dial}
	return &Client{
		timeouts: timeouts,
		pooled:   &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}},
		fresh:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
	}
}

// Job is one attempt of a generation at one engine.
type Job struct {
	ExchangeID   string
	Organisation string // empty where the route doesn't send it
	Priority     int
	Generation   exchange.Generation
}

type jobJSON struct {
	ExchangeID   string `json:"exchange_id"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Stream       bool   `json:"stream"`
	Priority     int    `json:"priority"`
	ResumeFrom   int    `json:"resume_from"`
	ResumeText   string `json:"resume_text"`
	Organisation string `json:"organisation,omitempty"`
}

type eventJSON struct {
	ExchangeID string `json:"exchange_id"`
	Index      int    `json:"index"`
	Text       string `json:"text"`
	Done       bool   `json:"done"`
	Error      string `json:"error"`
	Usage      struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// Generate runs a job and hands its tokens on, in order and each once. It
// returns after the last token, or with an exchange.Failure.
func (c *Client) Generate(ctx context.Context, row *target.Target, job Job, sink func(exchange.Token) error) (usage exchange.Usage, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{client: c, row: row, job: job, next: job.Generation.ResumeFrom, cancel: cancel, sink: sink}
	s.watch(ctx)
	usage, err = s.run(ctx)
	if err != nil {
		c.cancelAt(row.Address, job.ExchangeID)
		if cause := context.Cause(ctx); cause != nil && errors.Is(cause, errSilent) {
			err = &exchange.Failure{Err: cause}
		}
	}
	return usage, err
}

func (c *Client) post(ctx context.Context, row *target.Target, job Job) (*http.Response, error) {
	body, err := json.Marshal(jobJSON{
		ExchangeID: job.ExchangeID, Model: job.Generation.Model, Prompt: job.Generation.Prompt, MaxTokens: job.Generation.MaxTokens,
		Stream: true, Priority: job.Priority, ResumeFrom: job.Generation.ResumeFrom, ResumeText: job.Generation.ResumeText,
		Organisation: job.Organisation,
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+row.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.pooled.Do(request)
}

// stream is the state of one attempt.
type stream struct {
	client *Client
	row    *target.Target
	job    Job
	next   int // index of the next token
	cancel context.CancelCauseFunc
	sink   func(exchange.Token) error
	alive  chan int // next, after each event
}

func (s *stream) run(ctx context.Context) (usage exchange.Usage, err error) {
	response, err := s.client.post(ctx, s.row, s.job)
	if err != nil {
		return usage, &exchange.Failure{NotRun: refusedDial(err), Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return usage, s.refusal(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		event, found, err := parseEvent(scanner.Bytes())
		if err != nil {
			return usage, &exchange.Failure{Err: err}
		}
		if !found || event.ExchangeID != s.job.ExchangeID {
			continue
		}
		done, err := s.take(event)
		if err != nil || done {
			return exchange.Usage{PromptTokens: event.Usage.PromptTokens, CompletionTokens: event.Usage.CompletionTokens}, err
		}
	}
	if err := scanner.Err(); err != nil {
		return usage, &exchange.Failure{Err: err}
	}
	return usage, &exchange.Failure{Err: errors.New("the stream ended before the answer was whole")}
}

// take handles one event of this exchange.
func (s *stream) take(event eventJSON) (done bool, err error) {
	select {
	case s.alive <- s.next:
	default:
	}
	if event.Error != "" {
		return false, &exchange.Failure{Err: errors.New(event.Error)}
	}
	if event.Done {
		if event.Usage.CompletionTokens != s.next {
			return false, &exchange.Failure{Err: fmt.Errorf("the engine counts %d tokens, %d came", event.Usage.CompletionTokens, s.next)}
		}
		return true, nil
	}
	if event.Index < s.next {
		return false, nil // repeated
	}
	if event.Index > s.next {
		return false, &exchange.Failure{Err: fmt.Errorf("token %d came, token %d is missing", event.Index, s.next)}
	}
	if err := s.sink(exchange.Token{Index: event.Index, Text: event.Text}); err != nil {
		return false, &exchange.Failure{Final: true, Err: err}
	}
	s.next++
	return false, nil
}

// parseEvent reads one line of a server-sent-event stream.
func parseEvent(line []byte) (event eventJSON, found bool, err error) {
	data, found := bytes.CutPrefix(line, []byte("data:"))
	if !found {
		return event, false, nil
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 || bytes.Equal(data, []byte("[DONE]")) {
		return event, false, nil
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return event, false, fmt.Errorf("an event of the engine is not valid: %w", err)
	}
	return event, true, nil
}

// refusal maps a status to a failure. A status of the engine comes before it
// has run anything.
func (s *stream) refusal(response *http.Response) error {
	err := fault.New(fault.Overloaded, "target %s answered status %d", s.row.ID, response.StatusCode)
	final := response.StatusCode >= 400 && response.StatusCode < 500 && response.StatusCode != http.StatusTooManyRequests
	if final {
		err.Code = fault.Invalid
	}
	return &exchange.Failure{NotRun: true, Final: final, Err: err}
}

// watch probes over a fresh connection whenever the stream is silent, and ends
// the attempt when the engine has sent more than has come, or knows nothing of
// the exchange.
func (s *stream) watch(ctx context.Context) {
	s.alive = make(chan int, 1)
	silence := s.client.timeouts.Silence
	go func() {
		timer := time.NewTimer(silence)
		defer timer.Stop()
		started, last, begun, strikes := time.Now(), s.job.Generation.ResumeFrom, false, 0
		for {
			select {
			case <-ctx.Done():
				return
			case last = <-s.alive:
				begun, strikes = true, 0
				timer.Reset(silence)
				continue
			case <-timer.C:
			}
			if !begun && time.Since(started) > s.client.timeouts.FirstToken {
				s.cancel(fmt.Errorf("%w: no first token within %v", errSilent, s.client.timeouts.FirstToken))
				return
			}
			strikes++
			if s.client.moved(ctx, s.row.Address, s.job.ExchangeID, last+1) && strikes >= 2 {
				s.cancel(fmt.Errorf("%w: nothing came for %v", errSilent, time.Duration(strikes)*silence))
				return
			}
			timer.Reset(silence)
		}
	}()
}

type progressJSON struct {
	Known     bool `json:"known"`
	Generated int  `json:"generated"`
}

// moved tells whether the engine has gone past a token that has not come, or
// does not run the exchange.
func (c *Client) moved(ctx context.Context, address, exchangeID string, last int) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/exchanges/"+url.PathEscape(exchangeID), nil)
	if err != nil {
		return true
	}
	response, err := c.fresh.Do(request)
	if err != nil {
		return true
	}
	defer response.Body.Close()
	var progress progressJSON
	if err := json.NewDecoder(response.Body).Decode(&progress); err != nil {
		return true
	}
	return !progress.Known || progress.Generated > last
}

// cancelAt tells an engine to stop an exchange whose connection may be gone
// unnoticed.
func (c *Client) cancelAt(address, exchangeID string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		body := strings.NewReader(fmt.Sprintf("{%q:%q}", "exchange_id", exchangeID))
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/cancel", body)
		if err != nil {
			return
		}
		if response, err := c.fresh.Do(request); err == nil {
			response.Body.Close()
		}
	}()
}

// Health is what a target says when asked over a fresh connection.
type Health struct {
	Reached bool
	BootID  string
}

type healthJSON struct {
	BootID string `json:"boot_id"`
}

// Health asks a target for its boot id. A target that has crashed does not
// answer, or answers with another one.
func (c *Client) Health(ctx context.Context, address string) Health {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return Health{}
	}
	response, err := c.fresh.Do(request)
	if err != nil {
		return Health{}
	}
	defer response.Body.Close()
	var health healthJSON
	if err := json.NewDecoder(response.Body).Decode(&health); err != nil {
		return Health{}
	}
	return Health{Reached: true, BootID: health.BootID}
}

// refusedDial tells whether no connection was made, so that nothing was sent.
func refusedDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
