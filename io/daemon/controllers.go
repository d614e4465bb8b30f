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
)

const (
	expiryInterval   = time.Second
	registerInterval = time.Second
	settleInterval   = 500 * time.Millisecond
)

// announceCatalogue tells other VMs at once that this VM has a newer catalogue. The
// announcements form a tree: the leader tells its own data centre and the first VM
// of each other one, which tells the VMs of its data centre.
func (d *Daemon) announceCatalogue() {
	var local, remote []membership.Member
	seen := map[string]bool{d.vmState.DataCentre: true}
	for _, m := range d.vmState.Members.View.Read().Usable() {
		switch {
		case m.ID == d.vmState.Self:
		case m.DataCentre == d.vmState.DataCentre:
			local = append(local, m)
		case !seen[m.DataCentre]:
			seen[m.DataCentre] = true
			remote = append(remote, m)
		}
	}
	ctx := d.tomb.Context(context.Background())
	if d.firstInDataCentre() || d.isLeader() {
		d.gossiper.Announce(ctx, local)
	}
	if d.isLeader() {
		d.gossiper.Announce(ctx, remote)
	}
}

func (d *Daemon) isLeader() bool {
	return d.replica != nil && d.replica.Status().Role == raft.Leader
}

// firstInDataCentre reports whether this VM has the lowest id of the usable VMs of
// its data centre, or there is none.
func (d *Daemon) firstInDataCentre() bool {
	for _, m := range d.vmState.Members.View.Read().Usable() {
		if m.DataCentre == d.vmState.DataCentre {
			return m.ID == d.vmState.Self
		}
	}
	return true
}

// cancelWithdrawn cancels running requests as soon as their key is withdrawn.
func (d *Daemon) cancelWithdrawn() error {
	cause := fault.New(fault.Unauthenticated, "the key was withdrawn while the request ran")
	for {
		catalogueChanged, withdrawnChanged := d.vmState.Catalogue.Changed(), d.vmState.Withdrawn.Changed()
		d.inFlight.End(d.vmState.KeyInvalid, cause)
		select {
		case <-d.tomb.Dying():
			return nil
		case <-catalogueChanged:
		case <-withdrawnChanged:
		}
	}
}

// expire removes targets whose lease has run out and expired quarantine entries.
func (d *Daemon) expire() error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case now := <-ticker.C:
			d.vmState.Targets.Expire(now)
			d.vmState.Quarantine.Expire(now)
		}
	}
}

// registerVM adds this VM to the VM set of the catalogue once after its start. It
// retries until the control log answers.
func (d *Daemon) registerVM() error {
	ticker := time.NewTicker(registerInterval)
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

// tryRegister reports whether registration is over: this VM is in the VM set, or
// was refused.
func (d *Daemon) tryRegister(ctx context.Context, requestID string) bool {
	read, err := d.proposer.Read(ctx)
	if err != nil {
		return false
	}
	own := d.ownVM()
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
		d.log.Error("registration in the VM set was refused and is not retried; this VM has no limit shares of its own", "error", result.Err)
	}
	return true
}

func (d *Daemon) ownVM() catalogue.VM {
	s := d.settings.VM
	return catalogue.VM{
		ID: s.ID, Region: s.Region, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress,
	}
}

// settleVMs ends a change of the VM set on the leader, once every VM of the set
// uses it. Limit shares grow only then, so that their sum never exceeds the limit.
func (d *Daemon) settleVMs() error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	ctx := d.tomb.Context(context.Background())
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		c := d.vmState.Catalogue.Read()
		if !d.isLeader() || !c.Unsettled() || !d.acknowledged(c) {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, d.settings.Timeouts.Commit)
		_, err := d.proposer.Propose(bounded, &state.Command{
			RequestId: "settle-" + uuid.NewString(), AnyRevision: true,
			Kind: &state.Command_Change{Change: codec.FromChange(catalogue.Change{SettleVMs: c.VMRevision})},
		})
		cancel()
		if err != nil {
			d.log.Warn("change of the VM set could not be settled; it is retried", "error", err)
		}
	}
}

// acknowledged reports whether every VM of the set, apart from stopped ones, uses
// the newest VM set.
func (d *Daemon) acknowledged(c *catalogue.Catalogue) bool {
	members := d.vmState.Members.View.Read().Members
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

// otherVMs returns the addresses of the other VMs that are usable.
func (d *Daemon) otherVMs() (addresses []string) {
	for _, m := range d.vmState.Members.View.Read().Usable() {
		if m.ID != d.vmState.Self {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}
