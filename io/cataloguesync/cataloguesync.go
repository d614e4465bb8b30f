// Package cataloguesync keeps the catalogue of each VM up to date. The catalogue is the
// configuration that the control log replicates. A VM with a replica gets it from the
// replica. Other VMs pull it from a VM with a higher revision, which they learn from
// gossip: as changes where possible, otherwise whole. Delivery is eventual, and the
// revision in force on a VM never decreases.
package cataloguesync

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/codec"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	historyLength = 1024 // most changes kept for VMs that pull
	checkInterval = 200 * time.Millisecond
	// remotePullDelay is how long a VM waits for the one VM of its data centre that
	// pulls from other data centres, before it does so itself.
	remotePullDelay = time.Second
)

// Follower keeps the catalogue of this VM up to date. It runs on every VM and has
// nothing to do with the Raft role of that name.
type Follower struct {
	VMState *vmstate.State
	Peers   *peer.Peers
	Log     *slog.Logger
	// Updated, if set, is called after each new catalogue.
	Updated func()
	// Withdrawn is called with the ids of withdrawn keys that other VMs know.
	Withdrawn func(keys []string)

	mu      sync.Mutex
	history []change // consecutive, the newest last
}

type change struct {
	revision uint64
	change   catalogue.Change
}

// Install puts a catalogue in force if its revision is higher. The change is the one
// that led to it from the previous revision, or nil if that is not known.
func (f *Follower) Install(c *catalogue.Catalogue, by *catalogue.Change) {
	f.mu.Lock()
	inForce := f.VMState.Catalogue.Update(func(old *catalogue.Catalogue) *catalogue.Catalogue {
		if c.Revision <= old.Revision {
			return nil
		}
		f.recordChange(old.Revision, c.Revision, by)
		return c
	})
	f.mu.Unlock()
	if inForce == c {
		f.VMState.Limiter.Refresh()
		if f.Updated != nil {
			f.Updated()
		}
	}
}

func (f *Follower) recordChange(before, revision uint64, by *catalogue.Change) {
	if by == nil || revision != before+1 {
		f.history = nil
		return
	}
	f.history = append(f.history, change{revision: revision, change: *by})
	if len(f.history) > historyLength {
		f.history = append([]change(nil), f.history[historyLength/2:]...)
	}
}

// HandlePull returns the changes after a revision, or the whole catalogue if they are no
// longer in the history, and the ids of all withdrawn keys that this VM knows.
func (f *Follower) HandlePull(after uint64) *vm.PullResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.VMState.Catalogue.Read()
	answer := &vm.PullResponse{Revision: current.Revision, Withdrawn: f.VMState.Withdrawn.Read().IDs()}
	if after >= current.Revision {
		return answer
	}
	if len(f.history) == 0 || f.history[0].revision > after+1 {
		answer.Whole = codec.FromCatalogue(current)
		return answer
	}
	for _, c := range f.history {
		if c.revision > after {
			answer.Changes = append(answer.Changes, codec.FromChange(c.change))
		}
	}
	return answer
}

// Run pulls whenever another VM is known to have a newer catalogue.
func (f *Follower) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	ctx := t.Context(context.Background())
	behindSince := time.Time{}
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		case <-f.VMState.Members.View.Changed():
		}
		source, behind := f.chooseSource(behindSince)
		if !behind {
			behindSince = time.Time{}
			continue
		}
		if behindSince.IsZero() {
			behindSince = time.Now()
		}
		if source.ID != "" {
			f.pull(ctx, source)
		}
	}
}

// chooseSource chooses the VM to pull from: one of this data centre, or of another one if
// this VM is the first of its data centre by id or has been behind for remotePullDelay.
// It prefers this region. The source is empty if this VM is to wait.
func (f *Follower) chooseSource(behindSince time.Time) (source membership.Member, behind bool) {
	revision := f.VMState.Catalogue.Read().Revision
	members := f.VMState.Members.View.Read().Usable()
	var remote membership.Member
	remotePuller := ""
	for _, m := range members {
		if m.DataCentre == f.VMState.DataCentre && remotePuller == "" {
			remotePuller = m.ID
		}
		if m.Revision <= revision {
			continue
		}
		behind = true
		if m.DataCentre == f.VMState.DataCentre {
			return m, true
		}
		if remote.ID == "" || m.Region == f.VMState.Region {
			remote = m
		}
	}
	waited := !behindSince.IsZero() && time.Since(behindSince) > remotePullDelay
	if remotePuller == f.VMState.Self || waited {
		return remote, behind
	}
	return membership.Member{}, behind
}

func (f *Follower) pull(ctx context.Context, source membership.Member) {
	callCtx, cancel := f.Peers.Bounded(ctx)
	defer cancel()
	answer, err := f.Peers.At(source.PeerAddress).Pull(callCtx, &vm.PullRequest{AfterRevision: f.VMState.Catalogue.Read().Revision})
	if err != nil {
		f.Peers.DropIdle(source.PeerAddress)
		f.Log.Warn("the catalogue could not be pulled from a VM; the next check tries again", "from", source.ID, "error", err)
		return
	}
	if err := f.ApplyPullResponse(answer); err != nil {
		f.Log.Error("a pulled change of the catalogue does not apply; the whole catalogue is pulled next", "from", source.ID, "error", err)
		f.pullWhole(ctx, source)
	}
}

func (f *Follower) pullWhole(ctx context.Context, source membership.Member) {
	callCtx, cancel := f.Peers.Bounded(ctx)
	defer cancel()
	answer, err := f.Peers.At(source.PeerAddress).Pull(callCtx, &vm.PullRequest{})
	if err == nil && answer.GetWhole() != nil {
		f.Install(codec.ToCatalogue(answer.GetWhole()), nil)
	}
}

// ApplyPullResponse puts in force the withdrawn keys and the catalogue or the changes of
// another VM's answer. It returns an error if a change does not apply.
func (f *Follower) ApplyPullResponse(answer *vm.PullResponse) error {
	f.Withdrawn(answer.GetWithdrawn())
	if answer.GetWhole() != nil {
		f.Install(codec.ToCatalogue(answer.GetWhole()), nil)
		return nil
	}
	current := f.VMState.Catalogue.Read()
	if current.Revision+uint64(len(answer.GetChanges())) != answer.GetRevision() {
		return nil // this VM has got a newer catalogue meanwhile
	}
	for _, message := range answer.GetChanges() {
		by := codec.ToChange(message)
		next, err := current.With(by)
		if err != nil {
			return err
		}
		f.Install(next, &by)
		current = next
	}
	return nil
}
