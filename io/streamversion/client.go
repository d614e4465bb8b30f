// Package streamversion shares at which versions of targets streams have begun. Entry
// VMs tell a control VM, which tells a second one, so that any VM can find the version
// of a stream that its caller takes up again, also after all entry VMs have restarted.
// Both keep it in memory. A stream whose record is lost can't be taken up again: it is
// never continued on a guess.
package streamversion

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"kingcuprill/core/streamversion"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	// minDelay and maxDelay bound how long records are collected into one call.
	minDelay = 20 * time.Millisecond
	maxDelay = 250 * time.Millisecond
	// callsPerSecond is the rate of calls of all entry VMs to one control VM. With more
	// VMs, each of them collects records for longer.
	callsPerSecond = 200
	// recordTimeout bounds one call with records; maxCalls is the number of control VMs
	// that are tried.
	recordTimeout = 300 * time.Millisecond
	maxCalls      = 3
	// findTimeout bounds the search for a stream: a round trip to another region, and a
	// connection to it.
	findTimeout = 400 * time.Millisecond
	// maxSearches bounds the searches at the same time. Callers may ask for streams that
	// never were.
	maxSearches = 64
	// maxPending bounds the records that wait for a call.
	maxPending = 1 << 14
	// maxKeys bounds the records of one call.
	maxKeys = 1 << 14
)

// Client records the streams of an entry VM and finds those of others. It is safe for
// concurrent use.
type Client struct {
	Peers *peer.Peers
	// Controls returns the addresses of the control VMs that answer, the nearest first,
	// and All those of all that are known.
	Controls func() []string
	All      func() []string
	// VMs returns the number of entry VMs.
	VMs func() int64
	// Confirmed reports whether a control VM has confirmed the state of this VM lately, and
	// so All.
	Confirmed func() bool
	Log       *slog.Logger

	own      *streamversion.Table // streams that callers have begun at this VM
	searches chan struct{}

	mu      sync.Mutex
	pending map[streamversion.Version][]streamversion.Key
	count   int // of the pending records
}

// NewClient returns a client for an entry VM without streams.
func NewClient(peers *peer.Peers, controls, all func() []string, vms func() int64, confirmed func() bool, log *slog.Logger) *Client {
	return &Client{
		Peers: peers, Controls: controls, All: all, VMs: vms, Confirmed: confirmed, Log: log, own: streamversion.NewTable(),
		searches: make(chan struct{}, maxSearches), pending: map[streamversion.Version][]streamversion.Key{},
	}
}

// Record remembers the version at which a stream has begun, and tells a control VM soon.
// It doesn't block.
func (c *Client) Record(requestID string, v streamversion.Version) {
	key := streamversion.KeyOf(requestID)
	c.own.Record(key, v, time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count >= maxPending {
		return
	}
	c.pending[v] = append(c.pending[v], key)
	if c.count++; c.count == 1 {
		time.AfterFunc(c.delay(), c.sendPending)
	}
}

func (c *Client) delay() time.Duration {
	controls := max(1, len(c.Controls()))
	perControl := time.Duration(c.VMs()) / time.Duration(controls)
	return min(maxDelay, max(minDelay, perControl*time.Second/callsPerSecond))
}

func (c *Client) sendPending() {
	c.mu.Lock()
	pending, count := c.pending, c.count
	c.pending, c.count = map[streamversion.Version][]streamversion.Key{}, 0
	c.mu.Unlock()
	controls := c.Controls()
	var err error
	for _, address := range controls[:min(maxCalls, len(controls))] {
		if err = send(c.Peers, address, pending, false); err == nil {
			return
		}
	}
	c.Log.Warn("versions of streams could not be recorded at a control VM; these streams can be taken up again at this VM only", "streams", count, "controls", len(controls), "error", err)
}

// SendAll tells a control VM all streams of this VM. It doesn't block.
func (c *Client) SendAll(address string) {
	rows := c.own.Rows(time.Now())
	if len(rows) == 0 {
		return
	}
	go func() {
		if err := send(c.Peers, address, rows, true); err != nil {
			c.Log.Warn("versions of streams could not be sent to a control VM that has restarted; another one may have them", "control", address, "error", err)
		}
	}()
}

// send tells a control VM at which versions streams have begun.
func send(peers *peer.Peers, address string, rows map[streamversion.Version][]streamversion.Key, copied bool) (err error) {
	for _, groups := range split(rows) {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		_, err = peers.At(address).RecordStreams(ctx, &vm.RecordStreamsRequest{Groups: groups, Copied: copied})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// Find returns the version at which a stream has begun, as far as it is known: to this
// VM, to a control VM, or because targets of the route's service have had one version
// only for as long as a stream may run.
func (c *Client) Find(ctx context.Context, requestID, service string) (v streamversion.Version, found bool) {
	key := streamversion.KeyOf(requestID)
	if v, found = c.own.Find(key, time.Now()); found {
		return v, true
	}
	select {
	case c.searches <- struct{}{}:
		defer func() { <-c.searches }()
	default:
		c.Log.Warn("too many searches for versions of streams; the stream counts as unknown", "request", requestID)
		return v, false
	}
	return c.search(ctx, key, service)
}

// search asks all control VMs at once.
func (c *Client) search(ctx context.Context, key streamversion.Key, service string) (v streamversion.Version, found bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	confirmed := c.Confirmed() // before All is read
	addresses := c.All()
	answers := make(chan *vm.FindStreamResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			answer, err := c.Peers.At(address).FindStream(ctx, &vm.FindStreamRequest{Key: uint64(key), Service: service})
			if err != nil && ctx.Err() == nil {
				c.Log.Warn("control VM can't be asked for the version of a stream", "control", address, "error", err)
			}
			answers <- answer
		}()
	}
	only := soleVersion{unsure: !confirmed}
	for range addresses {
		answer := <-answers
		if answer.GetFound() {
			return streamversion.Version{Service: answer.GetService(), Version: answer.GetVersion()}, true
		}
		only.add(answer)
	}
	version, found := only.version()
	return streamversion.Version{Service: service, Version: version}, found
}

// soleVersion tells whether all control VMs have heard of the same version only.
type soleVersion struct {
	versions map[string]bool
	unsure   bool
}

// add takes the answer of a control VM, nil if there is none.
func (s *soleVersion) add(answer *vm.FindStreamResponse) {
	if time.Duration(answer.GetHeardNanoseconds()) < streamversion.Retention {
		s.unsure = true
	}
	for _, version := range answer.GetVersions() {
		if s.versions == nil {
			s.versions = map[string]bool{}
		}
		s.versions[version] = true
	}
}

func (s *soleVersion) version() (version string, sole bool) {
	if s.unsure || len(s.versions) != 1 {
		return "", false
	}
	for version = range s.versions {
		return version, true
	}
	return "", false
}
