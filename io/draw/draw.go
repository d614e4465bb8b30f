// Package draw carries tokens of the organisations' limits from the pool at the
// leader of the control log to the entry VMs.
package draw

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"kingcuprill/core/backoff"
	"kingcuprill/core/fault"
	"kingcuprill/core/quota"
	"kingcuprill/core/raft"
	"kingcuprill/io/peer"
	"kingcuprill/io/propose"
	"kingcuprill/io/replica"
	"kingcuprill/rpc/vm"
)

const (
	// timeout bounds a request's wait for tokens: a control VM of the region asks
	// the leader in another one.
	timeout = 350 * time.Millisecond
	// oneTimeout bounds one control VM's answer: a round trip to the leader's
	// region and what a busy VM takes.
	oneTimeout = 220 * time.Millisecond
	// shortestRest and longestRest bound how long a control VM that has not
	// answered isn't asked. It may be frozen, and its connections look sound.
	shortestRest = 500 * time.Millisecond
	longestRest  = 2 * time.Second
	// leadFor is how long after a confirmation by a majority the leader hands
	// tokens out. Another leader can't have been elected long before it ends.
	leadFor = 2 * time.Second
	// unknownWait is what callers are told where the pool can't be reached.
	unknownWait = 500 * time.Millisecond
)

// Server hands tokens out on a control VM.
type Server struct {
	replica   *replica.Replica
	proposer  *propose.Proposer
	peers     *peer.Peers
	confirmed func() time.Duration // age of the last confirmation
	pool      *quota.Pool
	relay     *quota.Relay // used while another VM leads
	log       *slog.Logger
}

// NewServer returns a server with an empty pool.
func NewServer(r *replica.Replica, p *propose.Proposer, peers *peer.Peers, confirmed func() time.Duration, log *slog.Logger) *Server {
	return &Server{replica: r, proposer: p, peers: peers, confirmed: confirmed, pool: quota.NewPool(), relay: quota.NewRelay(), log: log}
}

// Observe notes whether this VM leads, so that the accounts of its term fill
// before they are drawn from.
func (s *Server) Observe(now time.Time) {
	if status := s.replica.Status(); status.Role == raft.Leader {
		s.pool.StartTerm(status.Term, now)
	}
}

// Answer draws from the pool if this VM leads, and otherwise from what it has
// drawn from the leader ahead.
func (s *Server) Answer(ctx context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	status := s.replica.Status()
	if status.Role != raft.Leader {
		return s.pass(ctx, request)
	}
	if age := s.confirmed(); age > leadFor {
		return nil, fault.New(fault.NoQuorum, "the leader was confirmed %v ago", age)
	}
	limit := quota.Limit{RatePerSecond: request.GetRatePerSecond(), Burst: request.GetBurst()}
	granted, wait := s.pool.Draw(status.Term, request.GetOrganisation(), limit, request.GetNeed(), request.GetWant(), time.Now())
	return &vm.DrawResponse{Granted: granted, WaitNanoseconds: int64(wait)}, nil
}

// pass gives tokens that are held here, or asks the leader.
func (s *Server) pass(ctx context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	if request.GetForwarded() {
		return nil, fault.New(fault.NoQuorum, "this VM doesn't lead the control log")
	}
	name, need, want := request.GetOrganisation(), request.GetNeed(), request.GetWant()
	limit := quota.Limit{RatePerSecond: request.GetRatePerSecond(), Burst: request.GetBurst()}
	granted, order := s.relay.Take(name, limit, need, want, time.Now())
	if granted > 0 && order.Want > 0 {
		go s.refill(request, order)
	}
	if granted > 0 {
		return &vm.DrawResponse{Granted: granted}, nil
	}
	answer, err := s.ask(ctx, request, order)
	if err != nil {
		return nil, err
	}
	granted = s.relay.Pass(name, answer.GetGranted(), need, want, time.Now())
	return &vm.DrawResponse{Granted: granted, WaitNanoseconds: answer.GetWaitNanoseconds()}, nil
}

// refill draws ahead.
func (s *Server) refill(request *vm.DrawRequest, order quota.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	answer, err := s.ask(ctx, request, order)
	if err != nil {
		s.log.Warn("tokens could not be drawn ahead", "organisation", request.GetOrganisation(), "want", order.Want, "error", err)
	}
	s.relay.AddDrawn(request.GetOrganisation(), answer.GetGranted(), time.Now())
}

// ask draws from the leader.
func (s *Server) ask(ctx context.Context, request *vm.DrawRequest, order quota.Order) (*vm.DrawResponse, error) {
	address, known := s.proposer.Leader()
	if !known {
		return nil, fault.New(fault.NoQuorum, "the leader of the control log is not known")
	}
	return s.peers.At(address).Draw(ctx, &vm.DrawRequest{
		Organisation: request.GetOrganisation(), RatePerSecond: request.GetRatePerSecond(), Burst: request.GetBurst(),
		Need: max(0, order.Need), Want: order.Want, Forwarded: true,
	})
}

// Client draws tokens for an entry VM.
type Client struct {
	Peers    *peer.Peers
	Book     *quota.Limiter
	Controls func() []string // control VMs that answer, the nearest first
	Log      *slog.Logger

	resting backoff.Tracker[string] // control VMs that have not answered
}

// NewClient returns a client.
func NewClient(peers *peer.Peers, book *quota.Limiter, controls func() []string, log *slog.Logger) *Client {
	return &Client{
		Peers: peers, Book: book, Controls: controls, Log: log,
		resting: backoff.Tracker[string]{Shortest: shortestRest, Longest: longestRest},
	}
}

// Draw carries an order out. An order without a need is for later requests; its
// tokens go to the book at once. Otherwise they are returned.
func (c *Client) Draw(ctx context.Context, organisation string, limit quota.Limit, order quota.Order) (tokens float64, wait time.Duration, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &vm.DrawRequest{
		Organisation: organisation, RatePerSecond: limit.RatePerSecond, Burst: limit.Burst, Need: order.Need, Want: order.Want,
	}
	wait = unknownWait
	for _, address := range c.Controls() {
		if c.resting.InBackoff(address, time.Now()) {
			continue
		}
		answer, err := c.ask(ctx, address, request)
		if err == nil {
			tokens, wait, reached = answer.GetGranted(), time.Duration(answer.GetWaitNanoseconds()), true
			break
		}
		c.Log.Warn("tokens could not be drawn", "organisation", organisation, "control", address, "need", order.Need, "error", err)
		if ctx.Err() != nil {
			break
		}
	}
	if order.Need == 0 {
		c.Book.AddDrawn(organisation, limit, 0, tokens, reached, time.Now())
	}
	return tokens, wait, reached
}

// ask asks one control VM.
func (c *Client) ask(ctx context.Context, address string, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	bounded, cancel := context.WithTimeout(ctx, oneTimeout)
	defer cancel()
	answer, err := c.Peers.At(address).Draw(bounded, request)
	switch {
	case err == nil:
		c.resting.Succeeded(address)
	case bounded.Err() != nil && !errors.Is(ctx.Err(), context.Canceled):
		c.resting.Refused(address, time.Now())
	}
	return answer, err
}
