// Package gossip runs the membership of the VMs: random exchanges, probes
// through others before a suspicion, and summaries of each data centre's load.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/board"
	"kingcuprill/core/membership"
	"kingcuprill/core/summary"
	"kingcuprill/core/target"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	period         = time.Second
	rowsPerMessage = 24
	// withdrawnPerMessage bounds the withdrawn keys in a message.
	withdrawnPerMessage = 64
	indirectProbes      = 2
	roundsUntilDead     = 4 // rounds between tries to reach a dead member or a seed
	sendsPerSummary     = 2 // how often a VM passes on one version of a summary
)

// Gossip keeps the membership table of this VM.
type Gossip struct {
	Board *board.Board
	Peers *peer.Peers
	Seeds []string
	Log   *slog.Logger
	// Withdrawn takes in withdrawn keys that others tell of.
	Withdrawn func(keys []string)
	// Uncommitted returns the withdrawn keys that the catalogue doesn't show;
	// they go with each message until it does.
	Uncommitted func() []string

	mu     sync.Mutex // guards the membership table's writers
	round  int
	joined atomic.Bool
	passed map[string]passing // by data centre
}

// passing counts how often a version of a summary was sent.
type passing struct {
	version uint64
	sends   int
}

// Run exchanges messages until the tomb dies.
func (g *Gossip) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	g.joinSeeds(ctx)
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
			g.tick(ctx)
		}
	}
}

func (g *Gossip) tick(ctx context.Context) {
	g.round++
	g.noteRevision()
	g.summarize()
	lost := g.round%roundsUntilDead == 0
	if lost || !g.joined.Load() {
		go g.joinSeeds(ctx)
	}
	g.mu.Lock()
	g.Board.Members.Expire(time.Now())
	peers := g.Board.Members.PickPeers(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), lost)
	g.mu.Unlock()
	for _, m := range peers {
		go g.exchange(ctx, m)
	}
}

// Joined tells whether a seed has answered since the start, or there is none.
func (g *Gossip) Joined() bool {
	return g.joined.Load() || len(g.Seeds) == 0
}

// joinSeeds asks seeds that are not known as members for all they know.
func (g *Gossip) joinSeeds(ctx context.Context) {
	var group sync.WaitGroup
	for _, seed := range g.unknownSeeds() {
		group.Go(func() {
			message := g.message()
			message.Join = true
			bounded, cancel := g.Peers.Bounded(ctx)
			defer cancel()
			answer, err := g.Peers.At(seed).Gossip(bounded, message)
			if err != nil {
				return
			}
			g.take(answer, true)
		})
	}
	group.Wait()
}

func (g *Gossip) unknownSeeds() (seeds []string) {
	known := map[string]bool{g.Board.SelfMember().PeerAddress: true}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.Board.Members.All() {
		if m.State == membership.Alive && g.joined.Load() {
			known[m.PeerAddress] = true
		}
	}
	for _, seed := range g.Seeds {
		if !known[seed] {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// exchange sends news to a member and takes in its news. A member that does
// not answer is probed over a fresh connection and through others before it is
// suspected.
func (g *Gossip) exchange(ctx context.Context, m membership.Member) {
	if g.send(ctx, m) == nil {
		return
	}
	g.Peers.DropIdle()
	if g.send(ctx, m) == nil || g.probeThroughOthers(ctx, m) || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.Board.Members.View.Read().Members[m.ID]; current.State == membership.Alive {
		g.Log.Warn("a VM does not answer and is suspected", "vm", m.ID, "address", m.PeerAddress)
		g.Board.Members.Suspect(m.ID)
	}
}

func (g *Gossip) send(ctx context.Context, m membership.Member) error {
	bounded, cancel := g.Peers.Bounded(ctx)
	defer cancel()
	answer, err := g.Peers.At(m.PeerAddress).Gossip(bounded, g.message())
	if err != nil {
		return err
	}
	g.take(answer, true)
	return nil
}

func (g *Gossip) probeThroughOthers(ctx context.Context, m membership.Member) bool {
	reached := make(chan bool, indirectProbes)
	asked := 0
	for _, other := range g.Board.Members.View.Read().Usable() {
		if other.ID == m.ID || other.ID == g.Board.Self || asked == indirectProbes {
			continue
		}
		asked++
		go func() {
			bounded, cancel := g.Peers.Bounded(ctx)
			defer cancel()
			answer, err := g.Peers.At(other.PeerAddress).Probe(bounded, &vm.ProbeRequest{Vm: m.ID})
			reached <- err == nil && answer.GetReached()
		}()
	}
	for range asked {
		if <-reached {
			return true
		}
	}
	return false
}

// Probe tells whether this VM reaches another one.
func (g *Gossip) Probe(ctx context.Context, id string) bool {
	m, known := g.Board.Members.View.Read().Members[id]
	return known && g.send(ctx, m) == nil
}

// Answer takes in a message and returns this VM's news.
func (g *Gossip) Answer(message *vm.GossipMessage) *vm.GossipMessage {
	g.take(message, false)
	answer := g.message()
	if message.GetJoin() {
		g.mu.Lock()
		answer.Members = fromMembers(g.Board.Members.All())
		g.mu.Unlock()
	}
	return answer
}

func (g *Gossip) message() *vm.GossipMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	revision := g.updateRevision()
	rows := g.Board.Members.Updates(rowsPerMessage)
	self := g.Board.SelfMember()
	uncommitted := g.Uncommitted()
	message := &vm.GossipMessage{Withdrawn: uncommitted[:min(len(uncommitted), withdrawnPerMessage)], From: self.ID, Revision: revision, Members: fromMembers(append(rows, self))}
	for _, s := range g.Board.Summaries.Read().ByDataCentre {
		if g.passOn(s) {
			message.Summaries = append(message.Summaries, fromSummary(s))
		}
	}
	return message
}

// passOn tells whether a summary goes with the next message: each version goes
// a few times only, since all VMs pass it on.
func (g *Gossip) passOn(s summary.Summary) bool {
	if g.passed == nil {
		g.passed = map[string]passing{}
	}
	p := g.passed[s.DataCentre]
	if p.version != s.Version {
		p = passing{version: s.Version}
	}
	if p.sends >= sendsPerSummary || time.Since(s.Received) > summaryFresh {
		return false
	}
	p.sends++
	g.passed[s.DataCentre] = p
	return true
}

// noteRevision brings this VM's own row up to date, also where there is no
// other VM to tell.
func (g *Gossip) noteRevision() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRevision()
}

func (g *Gossip) updateRevision() (revision uint64) {
	revision = g.Board.Catalogue.Read().Revision
	g.Board.Members.Update(func(m *membership.Member) { m.Revision = revision })
	return revision
}

// take takes in a message; answered tells that its sender has just answered
// this VM.
func (g *Gossip) take(message *vm.GossipMessage, answered bool) {
	members := toMembers(message.GetMembers())
	g.mu.Lock()
	for _, m := range members {
		if m.ID == message.GetFrom() && m.ID != g.Board.Self {
			g.Board.Members.MergeDirect(m)
		}
	}
	g.Board.Members.Merge(members)
	if answered {
		g.joined.Store(true)
	}
	g.mu.Unlock()
	summaries := []summary.Summary{}
	for _, s := range message.GetSummaries() {
		summaries = append(summaries, toSummary(s))
	}
	g.Board.Summaries.Update(func(s *summary.Set) *summary.Set { return s.With(time.Now(), summaries...) })
	if len(message.GetWithdrawn()) > 0 {
		g.Withdrawn(message.GetWithdrawn())
	}
}

const (
	summaryFresh = 10 * time.Second
	summaryEvery = 2 // rounds
)

// summarize writes the own data centre's summary, on the VM with the lowest id
// there.
func (g *Gossip) summarize() {
	if g.round%summaryEvery != 0 || !g.reportsForDataCentre() {
		return
	}
	s := summary.Summary{
		DataCentre: g.Board.DataCentre, Region: g.Board.Region, Version: uint64(time.Now().UnixNano()),
		Services: Services(g.Board.Targets.View.Read(), time.Now()),
	}
	g.Board.Summaries.Update(func(set *summary.Set) *summary.Set { return set.With(time.Now(), s) })
}

func (g *Gossip) reportsForDataCentre() bool {
	for _, m := range g.Board.Members.View.Read().Usable() {
		if m.DataCentre == g.Board.DataCentre {
			return m.ID == g.Board.Self
		}
	}
	return true
}

// Services sums the targets of a data centre by service.
func Services(snapshot *target.Snapshot, now time.Time) (services []summary.Service) {
	for name, rows := range snapshot.ByService {
		s := summary.Service{Name: name}
		models := map[string]bool{}
		for _, row := range rows {
			if !row.Serves("", now) || !row.Live.Circuit.Closed() {
				continue
			}
			s.Capacity += row.Capacity
			s.InFlight += max(row.Load.Running+row.Load.Waiting, int(row.Live.InFlight.Load()))
			for _, model := range row.Models {
				models[model] = true
			}
		}
		for model := range models {
			s.Models = append(s.Models, model)
		}
		if s.Capacity > 0 {
			services = append(services, s)
		}
	}
	return services
}

// Announce sends this VM's own row to the given members at once, for news that
// should not wait for the next rounds.
func (g *Gossip) Announce(ctx context.Context, members []membership.Member) {
	for _, m := range members {
		go func() { _ = g.send(ctx, m) }()
	}
}

// Leave marks this VM as leaving and tells all others at once.
func (g *Gossip) Leave(ctx context.Context) {
	g.mu.Lock()
	g.Board.Members.Update(func(m *membership.Member) { m.State = membership.Leaving })
	others := g.Board.Members.View.Read().Usable()
	g.mu.Unlock()
	var group sync.WaitGroup
	for _, m := range others {
		group.Go(func() { _ = g.send(ctx, m) })
	}
	group.Wait()
}
