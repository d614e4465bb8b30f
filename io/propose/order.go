package propose

import (
	"context"
	"time"

	"github.com/google/uuid"

	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/io/boottime"
	"kingcuprill/rpc/state"
)

// renewableFor is how long after its acceptance an order may be proposed for a newer
// revision. It is below the second after which operators send an order to another VM:
// until then there is no later order of the same operator.
const renewableFor = 900 * time.Millisecond

// noticeTime is how long an order waits before it is proposed, in which the end of its
// caller's connection is noticed. One that was held up on its way often comes with it.
const noticeTime = 50 * time.Millisecond

// Order is an operator's order without a version of its own. It is carried out at most
// once, and not after a later order of its operator: it is proposed for the revision that
// this VM knew when the order came. A copy that is held up on its way fails once a later
// order has changed the catalogue.
type Order struct {
	revision uint64
	age      func() time.Duration
	// lead proposes at this VM's own replica. It fails with fault.NoQuorum if that doesn't
	// lead.
	lead    func(ctx context.Context, command *state.Command) (control.Result, error)
	propose func(ctx context.Context, command *state.Command) (control.Result, error)
}

// Accept returns an order that has come just now.
func (p *Proposer) Accept() Order {
	accepted := boottime.Now()
	return Order{
		revision: p.VMState.Catalogue.Read().Revision, age: func() time.Duration { return boottime.Now() - accepted },
		lead: p.proposeHere, propose: p.Propose,
	}
}

// proposeHere commits a command if this VM's replica leads.
func (p *Proposer) proposeHere(ctx context.Context, command *state.Command) (result control.Result, err error) {
	if p.Replica == nil || p.Replica.Status().Role != raft.Leader {
		return result, fault.New(fault.NoQuorum, "the replica of this VM doesn't lead")
	}
	return p.Replica.Propose(ctx, command)
}

// Commit commits the change that is ordered, unless the caller leaves at once, which ends
// the context. A leader puts it into its log, behind the orders that came before and ahead of
// all later ones, for any revision. Another VM hands it on. An error of code
// fault.StaleRevision means that the change was not and will not be made.
func (o Order) Commit(ctx context.Context, change *state.Change) (result control.Result, err error) {
	select {
	case <-ctx.Done():
	case <-time.After(noticeTime):
	}
	if ctx.Err() != nil {
		return result, fault.New(fault.NoQuorum, "the caller has gone; nothing was changed")
	}
	id := "order-" + uuid.NewString()
	kind := &state.Command_Change{Change: change}
	if o.age() > renewableFor {
		return o.handOn(ctx, id, kind) // this VM stood still
	}
	result, err = o.lead(ctx, &state.Command{RequestId: id, AnyRevision: true, Kind: kind})
	if err == nil && result.Err != nil {
		return result, result.Err
	}
	if fault.CodeOf(err) != fault.NoQuorum {
		return result, err
	}
	return o.handOn(ctx, id, kind)
}

// handOn has another VM commit the change. If the catalogue has changed since the order came,
// it is proposed again for the revision that the leader names, while the order is young. All
// copies have one request id, so that only one of them is carried out.
func (o Order) handOn(ctx context.Context, id string, kind *state.Command_Change) (result control.Result, err error) {
	revision := o.revision
	for {
		result, err = o.propose(ctx, &state.Command{RequestId: id, ExpectedRevision: revision, Kind: kind})
		if err != nil || result.Err == nil {
			return result, err
		}
		if result.Err.Code != fault.StaleRevision {
			return result, result.Err
		}
		if o.age() > renewableFor {
			return result, fault.New(fault.StaleRevision, "the catalogue has changed since the order came; nothing was changed; send it again (%v)", result.Err)
		}
		revision = result.Revision
	}
}
