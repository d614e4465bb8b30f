// Package draw distributes the tokens of the organisations' rate limits. The leader
// of the control log holds the pool: one token bucket per organisation. Entry VMs
// draw tokens from it in batches, through a control VM of their region that draws
// some in advance. Tokens are handed out once, so that all entry VMs together keep
// to the limit; tokens that are lost on the way are not replaced. Only a leader that
// a majority has confirmed recently hands tokens out.
package draw

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/core/preference"
	"kingcuprill/core/quota"
	"kingcuprill/core/raft"
	"kingcuprill/io/peer"
	"kingcuprill/io/propose"
	"kingcuprill/io/replica"
	"kingcuprill/rpc/vm"
)

const (
	// timeout bounds a request's wait for tokens. The control VM of the region may
	// have to ask the leader in another region.
	timeout = 350 * time.Millisecond
	// attemptTimeout bounds the answer of the nearest control VM: a round trip to the
	// leader's region and the delay at a busy VM. One that is asked in place of the
	// nearest may take the rest of timeout, as it may need two round trips between regions.
	attemptTimeout = 220 * time.Millisecond
	// leaderLease is how long after a confirmation by a majority the leader hands
	// out tokens. Another leader can't have been elected long before it ends.
	leaderLease = 2 * time.Second
	// unreachableWait is the wait that callers are told if the pool can't be
	// reached.
	unreachableWait = 500 * time.Millisecond
)

// Server hands out tokens on a control VM. It is safe for concurrent use.
type Server struct {
	replica   *replica.Replica
	proposer  *propose.Proposer
	peers     *peer.Peers
	confirmed func() time.Duration // time since a majority last confirmed this leader
	pool      *quota.Pool
	relay     *quota.Relay // used while another VM leads
	batches   *batcher     // sends draws to the leader
	log       *slog.Logger
}

// NewServer returns a server with an empty pool.
func NewServer(r *replica.Replica, p *propose.Proposer, peers *peer.Peers, confirmed func() time.Duration, log *slog.Logger) *Server {
	s := &Server{replica: r, proposer: p, peers: peers, confirmed: confirmed, pool: quota.NewPool(), relay: quota.NewRelay(), log: log}
	s.batches = &batcher{send: s.sendBatch}
	return s
}

// Observe must be called regularly. It starts the pool's term when this VM becomes
// the leader, so that accounts fill before the first draw.
func (s *Server) Observe(now time.Time) {
	if status := s.replica.Status(); status.Role == raft.Leader {
		s.pool.StartTerm(status.Term, now)
	}
}

// Draw draws from the pool if this VM leads. Otherwise it grants tokens that this
// VM has drawn in advance, or draws from the leader. The error is fault.NoQuorum if
// there is no leader that may hand out tokens.
func (s *Server) Draw(ctx context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	status := s.replica.Status()
	if status.Role != raft.Leader {
		return s.relayDraw(ctx, request)
	}
	answers, err := s.drawFromPool(status.Term, request)
	if err != nil {
		return nil, err
	}
	return answers[0], nil
}

// DrawAll draws from the pool for another control VM. The error is fault.NoQuorum if
// this VM doesn't lead or may not hand out tokens.
func (s *Server) DrawAll(request *vm.DrawAllRequest) (*vm.DrawAllResponse, error) {
	status := s.replica.Status()
	if status.Role != raft.Leader {
		return nil, fault.New(fault.NoQuorum, "this VM is not the leader of the control log")
	}
	answers, err := s.drawFromPool(status.Term, request.GetDraws()...)
	return &vm.DrawAllResponse{Answers: answers}, err
}

func (s *Server) drawFromPool(term uint64, requests ...*vm.DrawRequest) (answers []*vm.DrawResponse, err error) {
	if age := s.confirmed(); age > leaderLease {
		return nil, fault.New(fault.NoQuorum, "this leader hands out no tokens: a majority last confirmed it %v ago", age)
	}
	now := time.Now()
	for _, r := range requests {
		limit := quota.Limit{RatePerSecond: r.GetRatePerSecond(), Burst: r.GetBurst()}
		granted, wait := s.pool.Draw(term, r.GetOrganisation(), limit, r.GetNeed(), r.GetWant(), now)
		answers = append(answers, &vm.DrawResponse{Granted: granted, WaitNanoseconds: int64(wait)})
	}
	return answers, nil
}

// relayDraw grants tokens that this VM holds, or draws from the leader.
func (s *Server) relayDraw(ctx context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	name, need, want := request.GetOrganisation(), request.GetNeed(), request.GetWant()
	limit := quota.Limit{RatePerSecond: request.GetRatePerSecond(), Burst: request.GetBurst()}
	granted, order := s.relay.Take(name, limit, need, want, time.Now())
	if granted > 0 && order.Want > 0 {
		go s.keep(name, order, s.askLeader(request, order))
	}
	if granted > 0 {
		return &vm.DrawResponse{Granted: granted}, nil
	}
	drawn := s.askLeader(request, order)
	select {
	case <-ctx.Done():
		go s.keep(name, order, drawn)
		return nil, ctx.Err()
	case o := <-drawn:
		if o.err != nil {
			s.relay.AddDrawn(name, order, 0, time.Now())
			return nil, o.err
		}
		granted = s.relay.Pass(name, order, o.response.GetGranted(), need, want, time.Now())
		return &vm.DrawResponse{Granted: granted, WaitNanoseconds: o.response.GetWaitNanoseconds()}, nil
	}
}

// keep adds the tokens of a draw to the relay when they come.
func (s *Server) keep(organisation string, order quota.Order, drawn <-chan outcome) {
	o := <-drawn
	if o.err != nil {
		s.log.Warn("drawing tokens in advance from the leader failed; a later draw tries again", "organisation", organisation, "want", order.Want, "error", o.err)
	}
	s.relay.AddDrawn(organisation, order, o.response.GetGranted(), time.Now())
}

// askLeader draws from the leader, together with other draws.
func (s *Server) askLeader(request *vm.DrawRequest, order quota.Order) <-chan outcome {
	return s.batches.draw(&vm.DrawRequest{
		Organisation: request.GetOrganisation(), RatePerSecond: request.GetRatePerSecond(), Burst: request.GetBurst(),
		Need: max(0, order.Need), Want: order.Want,
	})
}

// sendBatch sends draws to the leader.
func (s *Server) sendBatch(ctx context.Context, draws []*vm.DrawRequest) ([]*vm.DrawResponse, error) {
	address, known := s.proposer.Leader()
	if !known {
		return nil, fault.New(fault.NoQuorum, "no tokens can be drawn: this VM knows no leader of the control log")
	}
	answer, err := s.peers.At(address).DrawAll(ctx, &vm.DrawAllRequest{Draws: draws})
	return answer.GetAnswers(), err
}

// Client draws tokens for an entry VM.
type Client struct {
	Peers    *peer.Peers
	Limiter  *quota.Limiter
	Controls func() []string // control VMs that answer, the nearest first
	Log      *slog.Logger

	Failed    atomic.Int64 // calls that gave no tokens, for whatever reason
	Rerouted  atomic.Int64 // draws that another control VM than the nearest has answered
	Unreached atomic.Int64 // draws that no control VM has answered

	preference  preference.Tracker[string]
	last        atomic.Pointer[string] // the control VM that answered the last draw
	sharedDraws sharedDraws
}

// NewClient returns a client. Tokens that are drawn in advance go to limiter.
func NewClient(peers *peer.Peers, limiter *quota.Limiter, controls func() []string, log *slog.Logger) *Client {
	return &Client{Peers: peers, Limiter: limiter, Controls: controls, Log: log}
}

// drawAlone is Draw without other requests: it asks the control VMs one after the other until
// one answers.
func (c *Client) drawAlone(ctx context.Context, key drawKey, order quota.Order) drawn {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := c.askControls(ctx, key, order)
	if !result.reached {
		c.Unreached.Add(1)
	}
	if order.Need == 0 {
		c.Limiter.AddDrawn(key.organisation, key.limit, order, 0, result.tokens, result.reached, time.Now())
	}
	return result
}

// askControls returns the answer of the first control VM that gives one in time.
func (c *Client) askControls(ctx context.Context, key drawKey, order quota.Order) drawn {
	request := &vm.DrawRequest{
		Organisation: key.organisation, RatePerSecond: key.limit.RatePerSecond, Burst: key.limit.Burst, Need: order.Need, Want: order.Want,
	}
	controls := c.Controls()
	candidates := c.preference.Order(controls, order.Need > 0, time.Now())
	for i, address := range candidates {
		bound := timeout
		if address == controls[0] {
			bound = attemptTimeout
		}
		answer, err := c.askControl(ctx, address, bound, i == len(candidates)-1, request)
		if err == nil {
			c.noteAnswer(address, controls[0])
			return drawn{tokens: answer.GetGranted(), wait: time.Duration(answer.GetWaitNanoseconds()), reached: true}
		}
		c.Failed.Add(1)
		c.Log.Warn("drawing tokens from a control VM failed; the next one is tried if time is left", "organisation", key.organisation, "control", address, "need", order.Need, "error", err)
		if ctx.Err() != nil {
			break
		}
	}
	return drawn{wait: unreachableWait}
}

// noteAnswer counts a draw that a control VM has answered, and logs where the tokens come
// from when that changes.
func (c *Client) noteAnswer(address, nearest string) {
	if address != nearest {
		c.Rerouted.Add(1)
	}
	before := c.last.Swap(&address)
	if before != nil && *before != address {
		c.Log.Info("tokens are drawn from another control VM than before", "control", address, "before", *before, "nearest", nearest)
	}
}

// askControl draws from one control VM, and records whether that gave tokens. If there was
// less than attemptTimeout left for the last one, a late answer doesn't count against it.
func (c *Client) askControl(ctx context.Context, address string, bound time.Duration, last bool, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	bounded, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	begun := time.Now()
	answer, err := c.Peers.At(address).Draw(bounded, request)
	switch {
	case err == nil:
		c.preference.Answered(address)
	case errors.Is(ctx.Err(), context.Canceled):
		// The caller has left.
	case bounded.Err() == nil:
		c.preference.Failed(address, false, time.Now())
	case !last || time.Since(begun) >= attemptTimeout:
		c.preference.Failed(address, true, time.Now())
	}
	return answer, err
}
