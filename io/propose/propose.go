// Package propose is the client side of the control log, the Raft log of the control
// VMs. It runs commands, linearizable reads and changes of the replica set at the
// leader: directly if the leader is this VM's replica, otherwise by a call to a
// control VM. Propose, Read and ChangeReplicas retry while there is no leader, until
// the context ends. The other methods don't retry.
package propose

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/raft"
	"kingcuprill/core/replicaset"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/codec"
	"kingcuprill/io/peer"
	"kingcuprill/io/replica"
	"kingcuprill/rpc/state"
	"kingcuprill/rpc/vm"
)

const retryInterval = 100 * time.Millisecond

// Proposer finds the leader and retries while the leader changes.
type Proposer struct {
	VMState *vmstate.State
	Peers   *peer.Peers
	Replica *replica.Replica // nil on a VM without one
	// Allow reports whether the leader may make a change of the replica set; nil allows all.
	Allow      func(status raft.Status, change replicaset.Change) bool
	lastLeader atomic.Pointer[string] // id
}

// Propose commits a command. A retry may commit it twice, so that commands must be
// idempotent: changes by their request id, claims by their claim id. An error of
// code fault.NoQuorum means that the command was not and will not be carried out,
// fault.OutcomeUnknown that it may be. An error of the command itself is in the
// result.
func (p *Proposer) Propose(ctx context.Context, command *state.Command) (result control.Result, err error) {
	outcomeUnknown := false
	for {
		result, err = p.proposeOnce(ctx, command)
		if !isRetryable(err) {
			return result, err
		}
		outcomeUnknown = outcomeUnknown || fault.CodeOf(err) != fault.NoQuorum
		select {
		case <-ctx.Done():
			if outcomeUnknown {
				return result, fault.New(fault.OutcomeUnknown, "no majority of the control VMs answered in time; the change may still come into force (%v)", err)
			}
			return result, fault.New(fault.NoQuorum, "no leader of the control log can be reached; nothing was changed (%v)", err)
		case <-time.After(retryInterval):
		}
	}
}

func isRetryable(err error) bool {
	code := fault.CodeOf(err)
	return err != nil && (code == fault.NoQuorum || code == fault.Internal || code == fault.OutcomeUnknown)
}

func (p *Proposer) proposeOnce(ctx context.Context, command *state.Command) (control.Result, error) {
	if p.Replica != nil && p.Replica.Status().Role == raft.Leader {
		return p.Replica.Propose(ctx, proto.CloneOf(command))
	}
	err := error(fault.New(fault.NoQuorum, "no control VM is known"))
	for _, m := range p.candidates() {
		var result control.Result
		result, err = p.proposeTo(ctx, m, command)
		if !isRetryable(err) {
			p.lastLeader.Store(&m.ID)
			return result, err
		}
		if fault.CodeOf(err) != fault.NoQuorum {
			return result, err
		}
	}
	return control.Result{}, err
}

// candidates returns the other control VMs to ask, the last known leader first.
func (p *Proposer) candidates() []membership.Member {
	lastLeader := ""
	if known := p.lastLeader.Load(); known != nil {
		lastLeader = *known
	}
	if p.Replica != nil && p.Replica.Status().Leader != "" {
		lastLeader = p.Replica.Status().Leader
	}
	var leader, others []membership.Member
	for _, m := range p.VMState.Members.View.Read().Usable() {
		switch {
		case !m.Control || m.ID == p.VMState.Self:
		case m.ID == lastLeader:
			leader = append(leader, m)
		default:
			others = append(others, m)
		}
	}
	return append(leader, others...)
}

func (p *Proposer) proposeTo(ctx context.Context, m membership.Member, command *state.Command) (result control.Result, err error) {
	answer, err := p.Peers.At(m.PeerAddress).Propose(ctx, &vm.ProposeRequest{Command: command})
	if err != nil {
		p.Peers.DropIdle(m.PeerAddress)
		return result, fault.New(fault.Internal, "vm %s: %v", m.ID, err)
	}
	if answer.GetLeader() != "" {
		leader := answer.GetLeader()
		p.lastLeader.Store(&leader)
	}
	return FromResponse(answer)
}

// FromResponse decodes a result from the answer of another VM. An error of the
// command itself is in the result; the returned error has the code fault.NoQuorum
// or fault.OutcomeUnknown.
func FromResponse(answer *vm.ProposeResponse) (result control.Result, err error) {
	result = control.Result{Revision: answer.GetRevision(), Fresh: answer.GetFresh(), EngineLease: codec.ToLease(answer.GetOrders())}
	if answer.GetBooking() != nil {
		result.Booking = codec.ToBooking(answer.GetBooking())
	}
	if answer.GetErrorCode() == "" {
		return result, nil
	}
	coded := &fault.Error{Code: fault.Code(answer.GetErrorCode()), Text: answer.GetErrorText()}
	if coded.Code == fault.NoQuorum || coded.Code == fault.OutcomeUnknown {
		return result, coded
	}
	result.Err = coded
	return result, nil
}

// ToResponse encodes a result, or its error, for the answer to another VM. The leader
// is the id of the leader that this VM knows, or empty.
func ToResponse(result control.Result, err error, leader string) *vm.ProposeResponse {
	answer := &vm.ProposeResponse{Revision: result.Revision, Fresh: result.Fresh, Leader: leader, Orders: codec.FromLease(result.EngineLease)}
	if result.Booking.ClaimID != "" {
		answer.Booking = codec.FromBooking(result.Booking)
	}
	if err == nil && result.Err != nil {
		err = result.Err
	}
	if err != nil {
		answer.ErrorCode, answer.ErrorText = string(fault.CodeOf(err)), err.Error()
	}
	return answer
}

// Read returns a catalogue that contains every change committed before the call, as
// confirmed by a majority. It retries until the context ends; the error then has the
// code fault.NoQuorum.
func (p *Proposer) Read(ctx context.Context) (answer *vm.ReadResponse, err error) {
	for {
		answer, err = p.readOnce(ctx)
		if err == nil {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.NoQuorum, "no leader of the control log can be reached to read the catalogue (%v)", err)
		case <-time.After(retryInterval):
		}
	}
}

func (p *Proposer) readOnce(ctx context.Context) (answer *vm.ReadResponse, err error) {
	if p.Replica != nil && p.Replica.Status().Role == raft.Leader {
		return p.ReadLocal(ctx)
	}
	err = errors.New("no control VM is known")
	for _, m := range p.candidates() {
		callCtx, cancel := p.Peers.Bounded(ctx)
		answer, err = p.Peers.At(m.PeerAddress).Read(callCtx, &vm.ReadRequest{})
		cancel()
		if err == nil && answer.GetConfirmed() {
			return answer, nil
		}
		if err == nil {
			err = fault.New(fault.NoQuorum, "vm %s is not the leader", m.ID)
		}
	}
	return nil, err
}

// ReadLocal returns the catalogue from this VM's replica, after a majority has
// confirmed that it is the leader. The error has the code fault.NoQuorum.
func (p *Proposer) ReadLocal(ctx context.Context) (answer *vm.ReadResponse, err error) {
	c, err := p.Replica.Read(ctx)
	if err != nil {
		return nil, err
	}
	status := p.Replica.Status()
	answer = &vm.ReadResponse{
		Catalogue: codec.FromCatalogue(c), Leader: status.ID, Confirmed: true,
		Term: status.Term, Commit: status.Commit, Applied: status.Applied,
	}
	answer.Replicas = replicaRows(status)
	return answer, nil
}

// Confirm has the leader confirm its leadership with a majority and returns a
// catalogue revision that contains every change committed before the call. It asks
// each control VM at most once and doesn't retry.
func (p *Proposer) Confirm(ctx context.Context) (revision uint64, err error) {
	if p.Replica != nil && p.Replica.Status().Role == raft.Leader {
		return p.ConfirmLocal(ctx)
	}
	err = fault.New(fault.NoQuorum, "no control VM is known")
	for _, m := range p.candidates() {
		var answer *vm.ConfirmResponse
		answer, err = p.Peers.At(m.PeerAddress).Confirm(ctx, &vm.ConfirmRequest{})
		if err == nil {
			p.lastLeader.Store(&m.ID)
			return answer.GetRevision(), nil
		}
		err = peer.FromTwirp(err)
	}
	return 0, err
}

// ConfirmLocal confirms with a majority that this VM's replica is the leader, and
// returns its catalogue revision. The error has the code fault.NoQuorum.
func (p *Proposer) ConfirmLocal(ctx context.Context) (revision uint64, err error) {
	if p.Replica == nil {
		return 0, fault.New(fault.NoQuorum, "VM %s holds no replica of the control log", p.VMState.Self)
	}
	c, err := p.Replica.Read(ctx)
	if err != nil {
		return 0, err
	}
	return c.Revision, nil
}

// Leader returns the peer address of the leader if it is another VM and this VM's
// replica knows it.
func (p *Proposer) Leader() (address string, known bool) {
	for _, m := range p.candidates() {
		if p.Replica != nil && m.ID == p.Replica.Status().Leader {
			return m.PeerAddress, true
		}
	}
	return "", false
}
