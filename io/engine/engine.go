// Package engine is the HTTP client of model engines. It streams completions,
// which have a priority and can be cancelled or resumed after a given token. The
// tokens of an exchange are delivered in order and each once. Engines repeat the
// exchange id in every event; events of other exchanges are dropped.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"kingcuprill/core/bytebudget"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/target"
	"kingcuprill/io/http1"
	"kingcuprill/io/settings"
)

const (
	maxEventBytes  = 1 << 20
	maxHead        = 256 << 10 // bytes, of an answer
	maxReport      = 64 << 10  // bytes, of an answer to a health check or a probe
	probeTimeout   = time.Second
	maxIdlePerHost = 64 // connections
)

// errForgotten is the error of a stream whose engine doesn't know the exchange any more.
var errForgotten = errors.New("the engine doesn't know the exchange any more")

// Client calls model engines. It is safe for concurrent use.
type Client struct {
	timeouts settings.Timeouts
	budget   *bytebudget.Budget
	pooled   *http.Client
	fresh    *http.Client // a new connection for each call
}

// NewClient returns a client. The events of all streams share the budget.
func NewClient(timeouts settings.Timeouts, budget *bytebudget.Budget) *Client {
	dialer := &net.Dialer{Timeout: timeouts.Dial}
	return &Client{
		timeouts: timeouts,
		budget:   budget,
		pooled:   newHTTP(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true, MaxResponseHeaderBytes: maxHead}),
		fresh:    newHTTP(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHead}),
	}
}

func newHTTP(transport *http.Transport) *http.Client {
	return &http.Client{Transport: http1.NewTransport(transport)}
}

// Job is one attempt of a generation at one engine.
type Job struct {
	ExchangeID   string
	Organisation string // empty where the route doesn't send it
	Priority     int
	Generation   exchange.Generation
	OnHead       func(header http.Header) // called with the head of the answer; may be nil
	// OnSilence is called, maybe more than once, while no event comes for a longer time. It
	// may be nil and must not block.
	OnSilence func()
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

// Generate runs a job and passes its tokens to sink, in order and each once. It
// returns after the last token, or with an *exchange.Failure, which tells whether
// the job may have run. After an error it tells the engine to cancel the job.
func (c *Client) Generate(ctx context.Context, t *target.Target, job Job, sink func(exchange.Token) error) (usage exchange.Usage, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &stream{client: c, target: t, job: job, next: job.Generation.ResumeFrom, cancel: cancel, sink: sink}
	s.watch(ctx)
	usage, err = s.run(ctx)
	if err != nil {
		c.cancelAt(t.Address, job.ExchangeID)
		if cause := context.Cause(ctx); errors.Is(cause, errForgotten) || errors.Is(cause, bytebudget.ErrUsedUp) {
			err = &exchange.Failure{Err: cause}
		}
	}
	return usage, err
}

// answer is the head of an engine's answer.
type answer struct {
	*http.Response
	fresh bool // nothing was sent on the connection before
}

func (c *Client) post(ctx context.Context, t *target.Target, job Job) (a answer, err error) {
	body, err := json.Marshal(jobJSON{
		ExchangeID: job.ExchangeID, Model: job.Generation.Model, Prompt: job.Generation.Prompt, MaxTokens: job.Generation.MaxTokens,
		Stream: true, Priority: job.Priority, ResumeFrom: job.Generation.ResumeFrom, ResumeText: job.Generation.ResumeText,
		Organisation: job.Organisation,
	})
	if err != nil {
		return a, err
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.fresh = !i.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+t.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	request.Header.Set("Content-Type", "application/json")
	a.Response, err = c.pooled.Do(request)
	return a, err
}

// stream is the state of the event stream of one job.
type stream struct {
	client *Client
	target *target.Target
	job    Job
	next   int // index of the next token expected
	cancel context.CancelCauseFunc
	sink   func(exchange.Token) error
	events chan int // receives next at each event
}

// run sends the job and reads its events to the end.
func (s *stream) run(ctx context.Context) (usage exchange.Usage, err error) {
	response, err := s.client.post(ctx, s.target, s.job)
	if err != nil {
		return usage, &exchange.Failure{NotRun: dialFailed(err), Err: err}
	}
	defer response.Body.Close()
	if s.job.OnHead != nil {
		s.job.OnHead(response.Header)
	}
	if response.StatusCode != http.StatusOK {
		return usage, s.statusFailure(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	loan := s.client.budget.Open(s.target.ID, func() { s.cancel(bytebudget.ErrUsedUp) })
	defer loan.Close()
	scanner.Split(countedLines(loan))
	for scanner.Scan() {
		event, found, err := parseEvent(scanner.Bytes())
		if err != nil {
			return usage, &exchange.Failure{Err: err}
		}
		if !found || event.ExchangeID != s.job.ExchangeID {
			continue
		}
		done, err := s.handle(event)
		if err != nil || done {
			return exchange.Usage{PromptTokens: event.Usage.PromptTokens, CompletionTokens: event.Usage.CompletionTokens}, err
		}
	}
	if err := scanner.Err(); err != nil {
		return usage, &exchange.Failure{Err: err}
	}
	return usage, &exchange.Failure{Err: errors.New("the engine ended the stream before the last token")}
}

// countedLines returns a split function for lines whose memory is counted on a loan.
func countedLines(loan *bytebudget.Loan) bufio.SplitFunc {
	return func(data []byte, atEOF bool) (advance int, token []byte, err error) {
		if err := loan.Resize(int64(cap(data))); err != nil {
			return 0, nil, err
		}
		return bufio.ScanLines(data, atEOF)
	}
}

// handle handles one event of this exchange.
func (s *stream) handle(event eventJSON) (done bool, err error) {
	select {
	case s.events <- s.next:
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

// parseEvent parses one line of a stream of server-sent events. found is false
// for lines without an event.
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
		return event, false, fmt.Errorf("an event of the engine is not valid JSON: %w", err)
	}
	return event, true, nil
}

// statusFailure returns the failure for a status other than 200, which an engine
// sends only before it runs a job. A 4xx status other than 429 is final. On a connection
// that was used before, an answer that doesn't name its exchange may be a copy of an
// earlier one: it doesn't show that this job has not run.
func (s *stream) statusFailure(response answer) error {
	err := fault.New(fault.Overloaded, "target %s answered status %d", s.target.ID, response.StatusCode)
	final := response.StatusCode >= 400 && response.StatusCode < 500 && response.StatusCode != http.StatusTooManyRequests
	if final {
		err.Code = fault.Invalid
	}
	notRun := response.fresh || response.Header.Get(exchange.IDHeader) == s.job.ExchangeID
	return &exchange.Failure{NotRun: notRun, Final: final, Err: err}
}

// watch asks the engine for its progress over a new connection after each silence
// timeout without an event. It reports a silence if the second or a later consecutive
// probe finds that events are missing, and if there is none within the first-token
// timeout. The engine may be sound and go on, so that the job isn't cancelled for that;
// it is if the engine has forgotten an exchange that had begun.
func (s *stream) watch(ctx context.Context) {
	s.events = make(chan int, 1)
	silence := s.client.timeouts.Silence
	go func() {
		timer := time.NewTimer(silence)
		defer timer.Stop()
		started, last, begun, probes := time.Now(), s.job.Generation.ResumeFrom, false, 0
		for {
			select {
			case <-ctx.Done():
				return
			case last = <-s.events:
				begun, probes = true, 0
				timer.Reset(silence)
				continue
			case <-timer.C:
			}
			probes++
			state := s.client.probe(ctx, s.target.Address, s.job.ExchangeID, last+1)
			if state == forgotten && begun && probes >= 2 {
				s.cancel(errForgotten)
				return
			}
			late := !begun && time.Since(started) > s.client.timeouts.FirstToken
			if late || state != sound && probes >= 2 {
				s.reportSilence()
			}
			timer.Reset(silence)
		}
	}()
}

func (s *stream) reportSilence() {
	if s.job.OnSilence != nil {
		s.job.OnSilence()
	}
}

// progress is what a probe tells about an exchange.
type progress uint8

const (
	sound     progress = iota // all that the engine has generated was received
	stalled                   // events are missing, or the engine doesn't answer
	forgotten                 // the engine doesn't know the exchange
)

type progressJSON struct {
	Known     bool `json:"known"`
	Generated int  `json:"generated"`
}

// probe asks an engine for the progress of an exchange of which some tokens were
// received.
func (c *Client) probe(ctx context.Context, address, exchangeID string, received int) progress {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/exchanges/"+url.PathEscape(exchangeID), nil)
	if err != nil {
		return stalled
	}
	response, err := c.fresh.Do(request)
	if err != nil {
		return stalled
	}
	defer response.Body.Close()
	var answer progressJSON
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&answer); err != nil {
		return stalled
	}
	switch {
	case !answer.Known:
		return forgotten
	case answer.Generated > received:
		return stalled
	}
	return sound
}

// cancelAt tells an engine to stop an exchange, without waiting for the answer. The
// engine may not notice that the connection of the exchange is lost.
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

// Health is the result of a health check.
type Health struct {
	Reached bool   // false if there was no valid answer
	BootID  string // another one after each start of the target
}

type healthJSON struct {
	BootID string `json:"boot_id"`
}

// Health asks a target for its boot id over a new connection. A target that has
// crashed does not answer, or answers with another id.
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&health); err != nil {
		return Health{}
	}
	return Health{Reached: true, BootID: health.BootID}
}

// dialFailed tells whether no connection was made, so that nothing was sent.
func dialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
