package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
	rpc "kingcuprill/rpc/vm"
)

const (
	expireEvery   = time.Second
	registerEvery = time.Second
	settleEvery   = 500 * time.Millisecond
)

// newCatalogue tells others at once that this VM has a newer catalogue: the
// leader one VM of each data centre, that VM the others there.
func (d *Daemon) newCatalogue() {
	var near, heads []membership.Member
	seen := map[string]bool{d.board.DataCentre: true}
	for _, m := range d.board.Members.View.Read().Usable() {
		switch {
		case m.ID == d.board.Self:
		case m.DataCentre == d.board.DataCentre:
			near = append(near, m)
		case !seen[m.DataCentre]:
			seen[m.DataCentre] = true
			heads = append(heads, m)
		}
	}
	ctx := d.tomb.Context(context.Background())
	if d.headOfDataCentre() || d.leads() {
		d.gossiper.Announce(ctx, near)
	}
	if d.leads() {
		d.gossiper.Announce(ctx, heads)
	}
}

func (d *Daemon) leads() bool {
	return d.replica != nil && d.replica.Status().Role == raft.Leader
}

func (d *Daemon) headOfDataCentre() bool {
	for _, m := range d.board.Members.View.Read().Usable() {
		if m.DataCentre == d.board.DataCentre {
			return m.ID == d.board.Self
		}
	}
	return true
}

// endWithdrawn ends running requests as soon as their key is dead.
func (d *Daemon) endWithdrawn() error {
	cause := fault.New(fault.Unauthenticated, "the key was withdrawn while the request ran")
	for {
		changedCatalogue, changedSet := d.board.Catalogue.Changed(), d.board.Withdrawn.Changed()
		d.register.End(d.board.KeyInvalid, cause)
		select {
		case <-d.tomb.Dying():
			return nil
		case <-changedCatalogue:
		case <-changedSet:
		}
	}
}

// expire drops what is past its time.
func (d *Daemon) expire() error {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case now := <-ticker.C:
			d.board.Targets.Expire(now)
			d.board.Quarantine.Expire()
		}
	}
}

// registerVM brings this VM into the VM set, once after its start.
func (d *Daemon) registerVM() error {
	ticker := time.NewTicker(registerEvery)
	defer ticker.Stop()
	ctx := d.tomb.Context(context.Background())
	requestID := "register-" + uuid.NewString()
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		bounded, cancel := context.WithTimeout(ctx, d.settings.Timeouts.Commit)
		done := d.tryRegister(bounded, requestID)
		cancel()
		if done {
			return nil
		}
	}
}

func (d *Daemon) tryRegister(ctx context.Context, requestID string) bool {
	read, err := d.proposer.Read(ctx)
	if err != nil {
		return false
	}
	own := d.ownRow()
	for _, row := range read.GetCatalogue().GetVms() {
		current := codec.ToVM(row)
		own.State = current.State
		if current == own {
			return true
		}
	}
	own.State = ""
	result, err := d.proposer.Propose(ctx, &state.Command{
		RequestId: requestID, AnyRevision: true,
		Kind: &state.Command_Change{Change: codec.FromChange(catalogue.Change{PutVM: &own})},
	})
	if err != nil {
		return false
	}
	if result.Err != nil {
		d.log.Error("this VM is not in the VM set; it has no limit shares of its own", "error", result.Err)
	}
	return true
}

func (d *Daemon) ownRow() catalogue.VM {
	s := d.settings.VM
	return catalogue.VM{
		ID: s.ID, Region: s.Region, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
	}
}

// settleVMs ends a change of the VM set on the leader, once every VM of the set
// has it in force. Only then do limit shares grow.
func (d *Daemon) settleVMs() error {
	ticker := time.NewTicker(settleEvery)
	defer ticker.Stop()
	ctx := d.tomb.Context(context.Background())
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		c := d.board.Catalogue.Read()
		if !d.leads() || !c.Unsettled() || !d.acknowledged(c) {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, d.settings.Timeouts.Commit)
		_, err := d.proposer.Propose(bounded, &state.Command{
			RequestId: "settle-" + uuid.NewString(), AnyRevision: true,
			Kind: &state.Command_Change{Change: codec.FromChange(catalogue.Change{SettleVMs: c.VMRevision})},
		})
		cancel()
		if err != nil {
			d.log.Warn("the change of the VM set is not settled yet", "error", err)
		}
	}
}

func (d *Daemon) acknowledged(c *catalogue.Catalogue) bool {
	members := d.board.Members.View.Read().Members
	for id, row := range c.VMs {
		if row.State == catalogue.VMStopped {
			continue
		}
		if m, known := members[id]; !known || m.Revision < c.VMRevision {
			return false
		}
	}
	return true
}

// spreadStrike tells all VMs of a request that was in flight at a crash.
func (d *Daemon) spreadStrike(fingerprint, boot string, refused bool) {
	request := &rpc.QuarantineRequest{Strikes: []*rpc.Strike{{Fingerprint: fingerprint, Boot: boot}}}
	if refused {
		request.Fingerprints = []string{fingerprint}
	}
	ctx := d.tomb.Context(context.Background())
	for _, m := range d.board.Members.View.Read().Usable() {
		if m.ID == d.board.Self {
			continue
		}
		go func() {
			bounded, cancel := d.peers.Bounded(ctx)
			defer cancel()
			if _, err := d.peers.At(m.PeerAddress).Quarantine(bounded, request); err != nil {
				d.log.Warn("a VM was not told of a request that crashes targets", "vm", m.ID, "error", err)
			}
		}()
	}
}
