// Package gossip runs the membership protocol of the VMs, in the manner of SWIM: each
// VM exchanges messages with random peers every second. A VM that does not answer is
// probed through other VMs, then suspected, and declared dead by core/membership.
//
// The messages also carry the catalogue revision of each VM, the withdrawn keys that
// the catalogue doesn't show as withdrawn yet, and a load summary of each data centre.
// None of this needs a quorum. Membership, revisions and withdrawn keys reach every VM
// eventually; a version of a load summary may miss some, as it is sent a few times only.
// A summary with another service or model is sent to all VMs at once.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/membership"
	"kingcuprill/core/summary"
	"kingcuprill/core/target"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	roundInterval  = time.Second
	rowsPerMessage = 24
	// withdrawnPerMessage limits the withdrawn keys in a message.
	withdrawnPerMessage = 64
	indirectProbes      = 2
	reconnectRounds     = 4 // rounds between tries to reach a dead member or a seed
	sendsPerSummary     = 2 // times that a VM sends one version of a summary
	// tellInterval bounds how often changes of the services are sent to all VMs at once.
	tellInterval = time.Second
)

// Gossip keeps the membership table of this VM up to date.
type Gossip struct {
	VMState *vmstate.State
	Peers   *peer.Peers
	Seeds   []string
	Log     *slog.Logger
	// Withdrawn is called with the ids of withdrawn keys that another VM has sent.
	Withdrawn func(keys []string)
	// Uncommitted returns the ids of withdrawn keys that the catalogue doesn't show as
	// withdrawn. They are sent with each message until it does.
	Uncommitted func() []string

	mu           sync.Mutex // guards summarySends and writes to the membership table
	round        int
	joined       atomic.Bool
	summarySends map[string]sendCount // by data centre
}

// sendCount counts the sends of one version of a summary.
type sendCount struct {
	version uint64
	sends   int
}

// Run exchanges messages with other VMs until the tomb dies.
func (g *Gossip) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	t.Go(func() error { return g.tellServices(t) })
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
	g.refreshRevision()
	if g.round%summaryRounds == 0 && g.reportsForDataCentre() {
		g.summarize()
	}
	reconnect := g.round%reconnectRounds == 0
	if reconnect || !g.joined.Load() {
		go g.joinSeeds(ctx)
	}
	g.mu.Lock()
	g.VMState.Members.Expire(time.Now())
	peers := g.VMState.Members.PickPeers(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), reconnect)
	g.mu.Unlock()
	for _, m := range peers {
		go g.exchange(ctx, m)
	}
}

// Joined reports whether a VM has answered since the start, or there are no seeds.
func (g *Gossip) Joined() bool {
	return g.joined.Load() || len(g.Seeds) == 0
}

// joinSeeds asks the seeds that are not known to be alive, or all until one VM has
// answered, for their whole membership table.
func (g *Gossip) joinSeeds(ctx context.Context) {
	var group sync.WaitGroup
	for _, seed := range g.unknownSeeds() {
		group.Go(func() {
			message := g.message(true)
			message.Join = true
			callCtx, cancel := g.Peers.Bounded(ctx)
			defer cancel()
			answer, err := g.Peers.At(seed).Gossip(callCtx, message)
			if err != nil {
				return
			}
			g.merge(answer, true)
		})
	}
	group.Wait()
}

func (g *Gossip) unknownSeeds() (seeds []string) {
	known := map[string]bool{g.VMState.SelfMember().PeerAddress: true}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.VMState.Members.All() {
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

// exchange exchanges messages with a member. A member that does not answer is tried
// again over a new connection and probed through others before it is suspected.
func (g *Gossip) exchange(ctx context.Context, m membership.Member) {
	if g.send(ctx, m, g.message(false)) == nil {
		return
	}
	g.Peers.DropIdle(m.PeerAddress)
	if g.send(ctx, m, g.message(false)) == nil || g.probeIndirectly(ctx, m) || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.VMState.Members.View.Read().Members[m.ID]; current.State == membership.Alive {
		g.Log.Warn("a VM answers neither directly nor through others; it is suspected, and will be declared dead unless it answers", "vm", m.ID, "address", m.PeerAddress)
		g.VMState.Members.Suspect(m.ID)
	}
}

func (g *Gossip) send(ctx context.Context, m membership.Member, message *vm.GossipMessage) error {
	callCtx, cancel := g.Peers.Bounded(ctx)
	defer cancel()
	answer, err := g.Peers.At(m.PeerAddress).Gossip(callCtx, message)
	if err != nil {
		return err
	}
	g.merge(answer, true)
	return nil
}

func (g *Gossip) probeIndirectly(ctx context.Context, m membership.Member) bool {
	reached := make(chan bool, indirectProbes)
	requested := 0
	for _, other := range g.VMState.Members.View.Read().Usable() {
		if other.ID == m.ID || other.ID == g.VMState.Self || requested == indirectProbes {
			continue
		}
		requested++
		go func() {
			callCtx, cancel := g.Peers.Bounded(ctx)
			defer cancel()
			answer, err := g.Peers.At(other.PeerAddress).Probe(callCtx, &vm.ProbeRequest{Vm: m.ID})
			reached <- err == nil && answer.GetReached()
		}()
	}
	for range requested {
		if <-reached {
			return true
		}
	}
	return false
}

// Probe reports whether another VM answers this one.
func (g *Gossip) Probe(ctx context.Context, id string) bool {
	m, known := g.VMState.Members.View.Read().Members[id]
	return known && g.send(ctx, m, g.message(false)) == nil
}

// HandleMessage handles a message of another VM and returns this VM's message. That
// contains the whole membership table and all summaries if the other VM joins.
func (g *Gossip) HandleMessage(message *vm.GossipMessage) *vm.GossipMessage {
	g.merge(message, false)
	answer := g.message(message.GetJoin())
	if message.GetJoin() {
		g.mu.Lock()
		answer.Members = fromMembers(g.VMState.Members.All())
		g.mu.Unlock()
	}
	return answer
}

// message returns a message to another VM. It holds all summaries, or only those whose
// version hasn't been sent often enough yet.
func (g *Gossip) message(allSummaries bool) *vm.GossipMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	revision := g.updateRevision()
	rows := g.VMState.Members.Updates(rowsPerMessage)
	self := g.VMState.SelfMember()
	uncommitted := g.Uncommitted()
	message := &vm.GossipMessage{Withdrawn: uncommitted[:min(len(uncommitted), withdrawnPerMessage)], From: self.ID, Revision: revision, Members: fromMembers(append(rows, self))}
	for _, s := range g.VMState.Summaries.Read().ByDataCentre {
		if time.Since(s.Received) > maxSummaryAge {
			continue
		}
		if g.countSend(s) || allSummaries {
			message.Summaries = append(message.Summaries, fromSummary(s))
		}
	}
	return message
}

// countSend reports whether a summary is to be sent with the next message, and
// counts the send. Each version is sent a few times only, since all VMs forward it.
func (g *Gossip) countSend(s summary.Summary) bool {
	if g.summarySends == nil {
		g.summarySends = map[string]sendCount{}
	}
	p := g.summarySends[s.DataCentre]
	if p.version != s.Version {
		p = sendCount{version: s.Version}
	}
	if p.sends >= sendsPerSummary {
		return false
	}
	p.sends++
	g.summarySends[s.DataCentre] = p
	return true
}

// refreshRevision updates the catalogue revision in this VM's own row, also when
// there is no other VM to send it to.
func (g *Gossip) refreshRevision() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateRevision()
}

func (g *Gossip) updateRevision() (revision uint64) {
	revision = g.VMState.Catalogue.Read().Revision
	g.VMState.Members.Update(func(m *membership.Member) { m.Revision = revision })
	return revision
}

// merge merges a message into this VM's state. answered is true if the message is an
// answer to this VM, rather than a call of another one.
func (g *Gossip) merge(message *vm.GossipMessage, answered bool) {
	members := toMembers(message.GetMembers())
	g.mu.Lock()
	for _, m := range members {
		if m.ID == message.GetFrom() && m.ID != g.VMState.Self {
			g.VMState.Members.MergeDirect(m)
		}
	}
	g.VMState.Members.Merge(members)
	if answered {
		g.joined.Store(true)
	}
	g.mu.Unlock()
	summaries := []summary.Summary{}
	for _, s := range message.GetSummaries() {
		summaries = append(summaries, toSummary(s))
	}
	g.VMState.Summaries.Update(func(s *summary.Set) *summary.Set { return s.With(time.Now(), summaries...) })
	if len(message.GetWithdrawn()) > 0 {
		g.Withdrawn(message.GetWithdrawn())
	}
}

const (
	maxSummaryAge = 10 * time.Second // a summary received longer ago is not sent on
	summaryRounds = 2                // rounds between two versions of a summary
)

// tellServices sends a new summary to all VMs at once when its services or models
// change, until the tomb dies. Requests for them wait only so long for a target.
func (g *Gossip) tellServices(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	told := ""
	for {
		changed := g.VMState.Targets.View.Changed()
		if names := g.serviceNames(); names != told && g.reportsForDataCentre() {
			told = names
			g.summarize()
			for _, m := range g.others() {
				go func() { _ = g.send(ctx, m, g.message(true)) }()
			}
		}
		select {
		case <-t.Dying():
			return nil
		case <-time.After(tellInterval):
		}
		select {
		case <-t.Dying():
			return nil
		case <-changed:
		}
	}
}

// serviceNames returns the services and models of this data centre as one string.
func (g *Gossip) serviceNames() string {
	var names []string
	for _, s := range Services(g.VMState.Targets.View.Read(), time.Now()) {
		slices.Sort(s.Models)
		names = append(names, s.Name+"="+strings.Join(s.Models, ","))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// others returns the other usable VMs.
func (g *Gossip) others() []membership.Member {
	return slices.DeleteFunc(g.VMState.Members.View.Read().Usable(), func(m membership.Member) bool { return m.ID == g.VMState.Self })
}

// summarize updates the summary of this data centre.
func (g *Gossip) summarize() {
	s := summary.Summary{
		DataCentre: g.VMState.DataCentre, Region: g.VMState.Region, Version: uint64(time.Now().UnixNano()),
		Services: Services(g.VMState.Targets.View.Read(), time.Now()),
	}
	g.VMState.Summaries.Update(func(set *summary.Set) *summary.Set { return set.With(time.Now(), s) })
}

// reportsForDataCentre reports whether this VM has the lowest id of the usable VMs of
// its data centre.
func (g *Gossip) reportsForDataCentre() bool {
	for _, m := range g.VMState.Members.View.Read().Usable() {
		if m.DataCentre == g.VMState.DataCentre {
			return m.ID == g.VMState.Self
		}
	}
	return true
}

// Services sums the capacity and load of the usable targets by service, in requests.
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

// Announce sends one message to each of the given members at once, for a change that
// should not wait for the next rounds. It doesn't wait for the answers, and a member
// that does not answer is neither tried again nor suspected.
func (g *Gossip) Announce(ctx context.Context, members []membership.Member) {
	for _, m := range members {
		go func() { _ = g.send(ctx, m, g.message(false)) }()
	}
}

// Leave marks this VM as leaving, sends this to all other usable VMs at once and
// waits for their answers.
func (g *Gossip) Leave(ctx context.Context) {
	g.mu.Lock()
	g.VMState.Members.Update(func(m *membership.Member) { m.State = membership.Leaving })
	others := g.VMState.Members.View.Read().Usable()
	g.mu.Unlock()
	var group sync.WaitGroup
	for _, m := range others {
		group.Go(func() { _ = g.send(ctx, m, g.message(false)) })
	}
	group.Wait()
}
