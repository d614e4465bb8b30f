// Package fakeengine is an HTTP server that imitates a model engine in tests
// and experiments. It simulates continuous batching with priorities, a prefix
// cache of limited size, load reports with a lag, cache events that arrive late
// and with gaps, resume, cancel, and a crash on a marked prompt. An answer
// depends only on the model and the prompt, so that a test can check it.
package fakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"kingcuprill/core/fault"
	"kingcuprill/core/targetlimit"
	"kingcuprill/io/rig/announcer"
	rpc "kingcuprill/rpc/target"
)

// CrashMark is the text in a prompt that crashes the engine that runs it.
const CrashMark = "[crash the engine]"

// Options configure one engine.
type Options struct {
	ID            string
	Service       string
	Region        string
	DataCentre    string
	Models        []string
	Capacity      int           // slots of the batch
	PerToken      time.Duration // base interval between tokens, of an empty batch
	PerColdByte   time.Duration // prefill time of one prompt byte that is not cached
	CacheBytes    int           // size of the prefix cache
	VMs           []string      // target addresses of the VMs of its data centre
	AnnounceEvery time.Duration
	LoadLag       time.Duration // age of the reported load
	RestartAfter  time.Duration // after a crash; 0: no restart
	ChecksFencing bool          // announced only; the fake engine checks no fencing tokens
}

// ReceivedRequest is one generation request as the engine received it.
type ReceivedRequest struct {
	ExchangeID   string
	Organisation string
	Header       http.Header
	Body         string
	At           time.Time
}

// Engine is a running fake engine.
type Engine struct {
	Options Options
	Address string
	Busy    atomic.Int64 // sum over all requests of the time in a slot, in nanoseconds

	mu        sync.Mutex
	bootID    string
	server    *http.Server
	exchanges map[string]*exchange
	running   int
	waiting   []*waiter
	cache     []uint64 // least recently used first
	events    []*rpc.CacheEvent
	sequence  uint64
	received  []ReceivedRequest
	crashes   int
	limit     string // named in answers, empty for none
	reports   []announcer.Load

	announcer *announcer.Announcer
	stop      context.CancelFunc
	ctx       context.Context
	group     sync.WaitGroup
}

type exchange struct {
	generated int
	cancel    context.CancelFunc
}

type waiter struct {
	priority int
	admitted chan struct{}
}

// Start listens on a free loopback port, serves requests and announces the
// engine to its VMs until Stop. It fails if it can't listen.
func Start(options Options) (e *Engine, err error) {
	defer fault.Annotate(&err, "fake engine %s", options.ID)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e = &Engine{Options: options, Address: listener.Addr().String()}
	e.announcer = &announcer.Announcer{VMs: options.VMs, Every: options.AnnounceEvery, Load: e.laggedLoad}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.boot(listener)
	e.group.Go(func() { e.announcer.Run(e.ctx, e.Identity) })
	e.group.Go(e.publish)
	return e, nil
}

// boot serves on a listener with a new boot id and empty state.
func (e *Engine) boot(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootID = uuid.NewString()
	e.exchanges = map[string]*exchange{}
	e.running, e.waiting, e.cache, e.events, e.sequence = 0, nil, nil, nil, 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("GET /v1/exchanges/{id}", e.progress)
	mux.HandleFunc("GET /health", e.health)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	server := e.server
	e.group.Go(func() { _ = server.Serve(listener) })
}

// Identity returns the data that the engine announces.
func (e *Engine) Identity() announcer.Identity {
	e.mu.Lock()
	defer e.mu.Unlock()
	return announcer.Identity{
		ID: e.Options.ID, BootID: e.bootID, Service: e.Options.Service, Kind: "engine", Address: e.Address,
		Region: e.Options.Region, DataCentre: e.Options.DataCentre, Models: e.Options.Models, Capacity: e.Options.Capacity,
		ChecksFencing: e.Options.ChecksFencing,
	}
}

// Received returns the generation requests received so far, those before a crash
// included.
func (e *Engine) Received() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// SetLimit sets the limit that answers name, in requests per second; empty for none.
func (e *Engine) SetLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

func (e *Engine) namedLimit() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
}

// Leave tells the VMs that the engine takes no new requests.
func (e *Engine) Leave() {
	e.announcer.Leave(e.ctx, e.Identity())
}

// Stop closes all connections, ends the announcements and waits for both.
func (e *Engine) Stop() {
	e.stop()
	e.mu.Lock()
	e.server.Close()
	e.mu.Unlock()
	e.group.Wait()
}

// Crash closes all connections at once. The engine restarts after
// Options.RestartAfter with a new boot id; if that is 0, it stays down.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crashes++
	e.server.Close()
	for _, x := range e.exchanges {
		x.cancel()
	}
	e.mu.Unlock()
	if e.Options.RestartAfter == 0 {
		e.stop()
		return
	}
	e.group.Go(func() {
		select {
		case <-time.After(e.Options.RestartAfter):
		case <-e.ctx.Done():
			return
		}
		for e.ctx.Err() == nil {
			listener, err := net.Listen("tcp", e.Address)
			if err == nil {
				e.boot(listener)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

type jobJSON struct {
	ExchangeID   string `json:"exchange_id"`
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Priority     int    `json:"priority"`
	ResumeFrom   int    `json:"resume_from"`
	Organisation string `json:"organisation"`
}

// Token returns the text of the token at an index of the answer to a prompt.
func Token(model, prompt string, index int) string {
	return " w" + strconv.FormatUint(xxhash.Sum64String(fmt.Sprint(model, "\x00", prompt, "\x00", index))%100000, 10)
}

// Length returns the number of tokens of the answer to a prompt: N if the prompt
// contains "tokens=N", else 16, and at most maxTokens.
func Length(prompt string, maxTokens int) int {
	_, rest, found := strings.Cut(prompt, "tokens=")
	if !found {
		return min(16, maxTokens)
	}
	digits := rest[:len(rest)-len(strings.TrimLeft(rest, "0123456789"))]
	length, err := strconv.Atoi(digits)
	if err != nil {
		return min(16, maxTokens)
	}
	return min(length, maxTokens)
}

// Answer returns the whole answer to a prompt.
func Answer(model, prompt string, maxTokens int) string {
	var text strings.Builder
	for i := range Length(prompt, maxTokens) {
		text.WriteString(Token(model, prompt, i))
	}
	return text.String()
}

const bytesPerToken = 4

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var job jobJSON
	body := &strings.Builder{}
	if err := json.NewDecoder(io.TeeReader(r.Body, body)).Decode(&job); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x := &exchange{generated: job.ResumeFrom, cancel: cancel}
	e.mu.Lock()
	e.received = append(e.received, ReceivedRequest{ExchangeID: job.ExchangeID, Organisation: job.Organisation, Header: r.Header.Clone(), Body: body.String(), At: time.Now()})
	e.exchanges[job.ExchangeID] = x
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.exchanges, job.ExchangeID)
		e.mu.Unlock()
	}()
	if limit := e.namedLimit(); limit != "" {
		w.Header().Set(targetlimit.Header, limit)
	}
	if !e.acquireSlot(ctx, job.Priority) {
		return
	}
	started := time.Now()
	defer func() { e.Busy.Add(int64(time.Since(started))) }()
	defer e.releaseSlot()
	if strings.Contains(job.Prompt, CrashMark) {
		time.Sleep(20 * time.Millisecond)
		e.Crash()
		return
	}
	e.generate(ctx, w, job, x)
}

func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, job jobJSON, x *exchange) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if !pause(ctx, time.Duration(e.prefill(job))*e.Options.PerColdByte) {
		return
	}
	length := Length(job.Prompt, job.MaxTokens)
	for index := job.ResumeFrom; index < length; index++ {
		if !pause(ctx, e.tokenTime()) {
			return
		}
		fmt.Fprintf(w, "data: {\"exchange_id\":%q,\"index\":%d,\"text\":%q}\n\n", job.ExchangeID, index, Token(job.Model, job.Prompt, index))
		e.mu.Lock()
		x.generated = index + 1
		e.mu.Unlock()
		if control.Flush() != nil {
			return
		}
	}
	fmt.Fprintf(w, "data: {\"exchange_id\":%q,\"done\":true,\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n",
		job.ExchangeID, len(job.Prompt)/bytesPerToken+1, length)
}

// pause waits and reports whether the context is still live.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	var job jobJSON
	if json.NewDecoder(r.Body).Decode(&job) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if x, found := e.exchanges[job.ExchangeID]; found {
		x.cancel()
	}
}

func (e *Engine) progress(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, known := e.exchanges[r.PathValue("id")]
	generated := 0
	if known {
		generated = x.generated
	}
	fmt.Fprintf(w, `{"known":%t,"generated":%d}`, known, generated)
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(w, `{"boot_id":%q}`, e.bootID)
}
