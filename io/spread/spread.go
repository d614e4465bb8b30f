// Package spread brings the newest catalogue to every VM. A VM with a replica
// gets it from there; the others pull from VMs that have a newer one, as
// changes where possible and whole otherwise. A catalogue never goes backwards.
package spread

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/board"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/membership"
	"kingcuprill/io/codec"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	historyLength = 1024 // changes kept for VMs that pull
	checkEvery    = 200 * time.Millisecond
	// outsideAfter is how long a VM waits for its data centre's puller before
	// it pulls from another data centre itself.
	outsideAfter = time.Second
)

// Follower keeps the catalogue of this VM up to date.
type Follower struct {
	Board *board.Board
	Peers *peer.Peers
	Log   *slog.Logger
	// Newer is called after each new catalogue.
	Newer func()
	// Withdrawn takes in the withdrawn keys that other VMs know.
	Withdrawn func(keys []string)

	mu      sync.Mutex
	history []change // consecutive, the newest last
}

type change struct {
	revision uint64
	change   catalogue.Change
}

// Take puts a catalogue in force if it is newer. The change is the one that
// led to it from the revision before, or nil.
func (f *Follower) Take(c *catalogue.Catalogue, by *catalogue.Change) {
	f.mu.Lock()
	taken := f.Board.Catalogue.Update(func(old *catalogue.Catalogue) *catalogue.Catalogue {
		if c.Revision <= old.Revision {
			return nil
		}
		f.remember(old.Revision, c.Revision, by)
		return c
	})
	f.mu.Unlock()
	if taken == c {
		f.Board.Limiter.Refresh()
		if f.Newer != nil {
			f.Newer()
		}
	}
}

func (f *Follower) remember(before, revision uint64, by *catalogue.Change) {
	if by == nil || revision != before+1 {
		f.history = nil
		return
	}
	f.history = append(f.history, change{revision: revision, change: *by})
	if len(f.history) > historyLength {
		f.history = append([]change(nil), f.history[historyLength/2:]...)
	}
}

// Answer returns what a VM lacks that has a revision in force.
func (f *Follower) Answer(after uint64) *vm.PullResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Board.Catalogue.Read()
	answer := &vm.PullResponse{Revision: current.Revision, Withdrawn: f.Board.Withdrawn.Read().IDs()}
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
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	ctx := t.Context(context.Background())
	behindSince := time.Time{}
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		case <-f.Board.Members.View.Changed():
		}
		source, behind := f.source(behindSince)
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

// source chooses whom to pull from: a VM of the own data centre, or of another
// one if this VM is its data centre's puller or has waited long enough.
func (f *Follower) source(behindSince time.Time) (source membership.Member, behind bool) {
	revision := f.Board.Catalogue.Read().Revision
	members := f.Board.Members.View.Read().Usable()
	var outside membership.Member
	puller := ""
	for _, m := range members {
		if m.DataCentre == f.Board.DataCentre && puller == "" {
			puller = m.ID
		}
		if m.Revision <= revision {
			continue
		}
		behind = true
		if m.DataCentre == f.Board.DataCentre {
			return m, true
		}
		if outside.ID == "" || m.Region == f.Board.Region {
			outside = m
		}
	}
	waited := !behindSince.IsZero() && time.Since(behindSince) > outsideAfter
	if puller == f.Board.Self || waited {
		return outside, behind
	}
	return membership.Member{}, behind
}

func (f *Follower) pull(ctx context.Context, source membership.Member) {
	bounded, cancel := f.Peers.Bounded(ctx)
	defer cancel()
	answer, err := f.Peers.At(source.PeerAddress).Pull(bounded, &vm.PullRequest{AfterRevision: f.Board.Catalogue.Read().Revision})
	if err != nil {
		f.Peers.DropIdle()
		f.Log.Warn("the catalogue could not be pulled", "from", source.ID, "error", err)
		return
	}
	if err := f.TakeAnswer(answer); err != nil {
		f.Log.Error("a pulled change does not apply; the whole catalogue is pulled next", "from", source.ID, "error", err)
		f.pullWhole(ctx, source)
	}
}

func (f *Follower) pullWhole(ctx context.Context, source membership.Member) {
	bounded, cancel := f.Peers.Bounded(ctx)
	defer cancel()
	answer, err := f.Peers.At(source.PeerAddress).Pull(bounded, &vm.PullRequest{})
	if err == nil && answer.GetWhole() != nil {
		f.Take(codec.ToCatalogue(answer.GetWhole()), nil)
	}
}

// TakeAnswer puts in force what another VM has answered.
func (f *Follower) TakeAnswer(answer *vm.PullResponse) error {
	f.Withdrawn(answer.GetWithdrawn())
	if answer.GetWhole() != nil {
		f.Take(codec.ToCatalogue(answer.GetWhole()), nil)
		return nil
	}
	current := f.Board.Catalogue.Read()
	if current.Revision+uint64(len(answer.GetChanges())) != answer.GetRevision() {
		return nil // this VM has moved on meanwhile
	}
	for _, message := range answer.GetChanges() {
		by := codec.ToChange(message)
		next, err := current.With(by)
		if err != nil {
			return err
		}
		f.Take(next, &by)
		current = next
	}
	return nil
}
