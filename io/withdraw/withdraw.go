// Package withdraw spreads withdrawn keys. The set of withdrawn keys only
// grows, so every VM may pass on what it knows, with or without a majority of
// the control VMs. The control log takes them in when it can.
package withdraw

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/board"
	"kingcuprill/core/membership"
	"kingcuprill/core/withdrawal"
	"kingcuprill/io/disk"
	"kingcuprill/io/peer"
	"kingcuprill/io/propose"
	"kingcuprill/rpc/state"
	"kingcuprill/rpc/vm"
)

const (
	mergeEvery    = 2 * time.Second
	maxConcurrent = 32 // calls at once
)

// Withdrawer takes in and passes on withdrawals.
type Withdrawer struct {
	Board    *board.Board
	Peers    *peer.Peers
	Proposer *propose.Proposer
	Store    *disk.Store // nil on a VM without a disk
	Log      *slog.Logger
	mu       sync.Mutex // one write to the store at a time
}

// Take puts withdrawals in force on this VM and returns those that were new.
// They are in force also when the disk refuses them.
func (w *Withdrawer) Take(keys []string) (added []string) {
	w.Board.Withdrawn.Update(func(s *withdrawal.Set) *withdrawal.Set {
		next, fresh := s.With(keys...)
		added = fresh
		if len(fresh) == 0 {
			return nil
		}
		return next
	})
	if len(added) == 0 || w.Store == nil {
		return added
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.Store.SaveWithdrawn(added); err != nil {
		w.Log.Error("withdrawn keys were not saved to disk; they are in force until this VM restarts and come back from others", "error", err)
	}
	return added
}

// Reached tells which VMs have taken a withdrawal in.
type Reached struct {
	Reached   []string
	Unreached []string
}

// Send puts withdrawals in force here and on every VM that answers.
func (w *Withdrawer) Send(ctx context.Context, keys []string) (r Reached) {
	w.Take(keys)
	r.Reached = append(r.Reached, w.Board.Self)
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for _, m := range w.Board.Members.All() {
		if m.ID == w.Board.Self {
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			err := w.sendTo(ctx, m, keys)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.Unreached = append(r.Unreached, m.ID)
				return
			}
			r.Reached = append(r.Reached, m.ID)
		})
	}
	group.Wait()
	return r
}

func (w *Withdrawer) sendTo(ctx context.Context, m membership.Member, keys []string) error {
	bounded, cancel := w.Peers.Bounded(ctx)
	defer cancel()
	_, err := w.Peers.At(m.PeerAddress).Withdraw(bounded, &vm.WithdrawRequest{Keys: keys})
	if err != nil {
		w.Peers.DropIdle()
	}
	return err
}

// Pass sends withdrawals that are new here on to the other VMs, for VMs that
// the first sender could not reach.
func (w *Withdrawer) Pass(ctx context.Context, keys []string) {
	if added := w.Take(keys); len(added) > 0 {
		go w.Send(context.WithoutCancel(ctx), added)
	}
}

// Uncommitted returns the withdrawals that the catalogue doesn't show yet.
func (w *Withdrawer) Uncommitted() (keys []string) {
	c := w.Board.Catalogue.Read()
	for _, id := range w.Board.Withdrawn.Read().IDs() {
		if key, found := c.Keys[id]; found && !key.Withdrawn {
			keys = append(keys, id)
		}
	}
	return keys
}

// Commit brings one withdrawal into the control log.
func (w *Withdrawer) Commit(ctx context.Context, key string) error {
	result, err := w.Proposer.Propose(ctx, &state.Command{
		RequestId:   "withdraw-" + key,
		AnyRevision: true,
		Kind:        &state.Command_Change{Change: &state.Change{Kind: &state.Change_WithdrawKey{WithdrawKey: key}}},
	})
	if err != nil {
		return err
	}
	if result.Err != nil {
		return result.Err
	}
	return nil
}

// Run merges withdrawals into the control log until it has them all.
func (w *Withdrawer) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := time.NewTicker(mergeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
		for _, key := range w.Uncommitted() {
			bounded, cancel := context.WithTimeout(ctx, w.Peers.Timeouts.Commit)
			if err := w.Commit(bounded, key); err != nil {
				w.Log.Warn("a withdrawn key is not in the control log yet", "key_id", key, "error", err)
			}
			cancel()
		}
	}
}
