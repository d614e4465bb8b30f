// Package withdraw distributes withdrawn (revoked) API keys to all VMs. The set of
// withdrawn keys only grows, so that VMs can merge and forward it in any order, also
// while the control VMs have no quorum: a withdrawal is in force on each VM that it
// has reached. It is committed to the control log as soon as there is a quorum.
package withdraw

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/core/withdrawal"
	"kingcuprill/io/disk"
	"kingcuprill/io/peer"
	"kingcuprill/io/propose"
	"kingcuprill/rpc/state"
	"kingcuprill/rpc/vm"
)

const (
	commitInterval     = 2 * time.Second
	maxConcurrentCalls = 32 // of one Broadcast
)

// Withdrawer applies withdrawals on this VM and sends them to others.
type Withdrawer struct {
	VMState  *vmstate.State
	Peers    *peer.Peers
	Proposer *propose.Proposer
	Store    *disk.Store // nil on a VM without a disk
	Log      *slog.Logger
	mu       sync.Mutex // serialises writes to the store
}

// Apply puts withdrawals in force on this VM and returns the ids of the keys that were
// new. They are in force even if saving them to disk fails.
func (w *Withdrawer) Apply(keys []string) (added []string) {
	w.VMState.Withdrawn.Update(func(s *withdrawal.Set) *withdrawal.Set {
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

// Delivery lists the ids of the VMs that have put a withdrawal in force and of those
// that have not confirmed it.
type Delivery struct {
	Reached   []string
	Unreached []string
}

// Broadcast puts withdrawals in force on this VM and on every VM that answers.
func (w *Withdrawer) Broadcast(ctx context.Context, keys []string) (r Delivery) {
	w.Apply(keys)
	r.Reached = append(r.Reached, w.VMState.Self)
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, m := range w.VMState.Members.All() {
		if m.ID == w.VMState.Self {
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
	callCtx, cancel := w.Peers.Bounded(ctx)
	defer cancel()
	_, err := w.Peers.At(m.PeerAddress).Withdraw(callCtx, &vm.WithdrawRequest{Keys: keys})
	if err != nil {
		w.Peers.DropIdle(m.PeerAddress)
	}
	return err
}

// ApplyAndForward puts withdrawals in force on this VM and forwards the new ones to
// the other VMs in the background, for VMs that the first sender could not reach.
func (w *Withdrawer) ApplyAndForward(ctx context.Context, keys []string) {
	if added := w.Apply(keys); len(added) > 0 {
		go w.Broadcast(context.WithoutCancel(ctx), added)
	}
}

// Uncommitted returns the ids of withdrawn keys that the catalogue doesn't show as
// withdrawn yet.
func (w *Withdrawer) Uncommitted() (keys []string) {
	c := w.VMState.Catalogue.Read()
	for _, id := range w.VMState.Withdrawn.Read().IDs() {
		if key, found := c.Keys[id]; found && !key.Withdrawn {
			keys = append(keys, id)
		}
	}
	return keys
}

// Commit commits one withdrawal to the control log. It is idempotent.
func (w *Withdrawer) Commit(ctx context.Context, key string) error {
	result, err := w.Proposer.Propose(ctx, &state.Command{
		RequestId:   requestID(w.VMState.Catalogue.Read(), key),
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

// requestID returns the id under which all VMs commit a withdrawal. It is another one if
// the key's id is granted again after the organisation was removed.
func requestID(c *catalogue.Catalogue, key string) string {
	return "withdraw-" + key + "-" + c.Keys[key].SecretHash
}

// Run commits uncommitted withdrawals to the control log until the tomb dies. It
// retries those that fail.
func (w *Withdrawer) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := time.NewTicker(commitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
		for _, key := range w.Uncommitted() {
			callCtx, cancel := context.WithTimeout(ctx, w.Peers.Timeouts.Commit)
			if err := w.Commit(callCtx, key); err != nil {
				w.Log.Warn("a withdrawn key is not in the control log yet", "key_id", key, "error", err)
			}
			cancel()
		}
	}
}
