// Package propose hands commands to the leader of the control log, wherever it
// is.
package propose

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/board"
	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/io/peer"
	"kingcuprill/io/replica"
	"kingcuprill/rpc/state"
	"kingcuprill/rpc/vm"
)

const pauseBetweenTries = 100 * time.Millisecond

// Proposer finds the leader and tries again while it changes.
type Proposer struct {
	Board   *board.Board
	Peers   *peer.Peers
	Replica *replica.Replica // nil on a VM without one
	leader  atomic.Pointer[string]
}

// Propose commits a command. Commands must be safe to commit twice: changes by
// their request id, claims by their claim id. fault.NoQuorum means that the
// command was not and will not be carried out; fault.OutcomeUnknown that it may
// be.
func (p *Proposer) Propose(ctx context.Context, command *state.Command) (result control.Result, err error) {
	unknown := false
	for {
		result, err = p.tryOnce(ctx, command)
		if !again(err) {
			return result, err
		}
		unknown = unknown || fault.CodeOf(err) != fault.NoQuorum
		select {
		case <-ctx.Done():
			if unknown {
				return result, fault.New(fault.OutcomeUnknown, "no majority of the control VMs answered in time; the change may still come into force (%v)", err)
			}
			return result, fault.New(fault.NoQuorum, "no leader of the control log can be reached; nothing was changed (%v)", err)
		case <-time.After(pauseBetweenTries):
		}
	}
}

func again(err error) bool {
	code := fault.CodeOf(err)
	return err != nil && (code == fault.NoQuorum || code == fault.Internal || code == fault.OutcomeUnknown)
}

func (p *Proposer) tryOnce(ctx context.Context, command *state.Command) (control.Result, error) {
	if p.Replica != nil && p.Replica.Status().Role == raft.Leader {
		return p.Replica.Propose(ctx, proto.CloneOf(command))
	}
	err := error(fault.New(fault.NoQuorum, "no control VM is known"))
	for _, m := range p.candidates() {
		var result control.Result
		result, err = p.ask(ctx, m, command)
		if !again(err) {
			p.leader.Store(&m.ID)
			return result, err
		}
		if fault.CodeOf(err) != fault.NoQuorum {
			return result, err
		}
	}
	return control.Result{}, err
}

// candidates returns the control VMs, the one that led last first.
func (p *Proposer) candidates() []membership.Member {
	last := ""
	if known := p.leader.Load(); known != nil {
		last = *known
	}
	if p.Replica != nil && p.Replica.Status().Leader != "" {
		last = p.Replica.Status().Leader
	}
	var first, rest []membership.Member
	for _, m := range p.Board.Members.View.Read().Usable() {
		switch {
		case !m.Control || m.ID == p.Board.Self:
		case m.ID == last:
			first = append(first, m)
		default:
			rest = append(rest, m)
		}
	}
	return append(first, rest...)
}

func (p *Proposer) ask(ctx context.Context, m membership.Member, command *state.Command) (result control.Result, err error) {
	answer, err := p.Peers.At(m.PeerAddress).Propose(ctx, &vm.ProposeRequest{Command: command})
	if err != nil {
		p.Peers.DropIdle()
		return result, fault.New(fault.Internal, "vm %s: %v", m.ID, err)
	}
	if answer.GetLeader() != "" {
		leader := answer.GetLeader()
		p.leader.Store(&leader)
	}
	return FromResponse(answer)
}

// FromResponse maps the answer of a VM to a result.
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

// ToResponse maps a result to the answer of a VM.
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

// Read returns a catalogue that holds every change committed before the call.
func (p *Proposer) Read(ctx context.Context) (answer *vm.ReadResponse, err error) {
	for {
		answer, err = p.readOnce(ctx)
		if err == nil {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.NoQuorum, "no leader of the control log can be reached (%v)", err)
		case <-time.After(pauseBetweenTries):
		}
	}
}

func (p *Proposer) readOnce(ctx context.Context) (answer *vm.ReadResponse, err error) {
	if p.Replica != nil && p.Replica.Status().Role == raft.Leader {
		return p.ReadLocal(ctx)
	}
	err = errors.New("no control VM is known")
	for _, m := range p.candidates() {
		bounded, cancel := p.Peers.Bounded(ctx)
		answer, err = p.Peers.At(m.PeerAddress).Read(bounded, &vm.ReadRequest{})
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

// ReadLocal answers a read from this VM's replica.
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

// Confirm proves the leader with a majority and returns a revision that holds
// every change committed before the call. It asks each control VM once.
func (p *Proposer) Confirm(ctx context.Context) (revision uint64, err error) {
	if p.Replica != nil && p.Replica.Status().Role == raft.Leader {
		return p.ConfirmHere(ctx)
	}
	err = fault.New(fault.NoQuorum, "no control VM is known")
	for _, m := range p.candidates() {
		var answer *vm.ConfirmResponse
		answer, err = p.Peers.At(m.PeerAddress).Confirm(ctx, &vm.ConfirmRequest{})
		if err == nil {
			p.leader.Store(&m.ID)
			return answer.GetRevision(), nil
		}
		err = peer.FromTwirp(err)
	}
	return 0, err
}

// ConfirmHere proves that this VM leads and returns its revision.
func (p *Proposer) ConfirmHere(ctx context.Context) (revision uint64, err error) {
	if p.Replica == nil {
		return 0, fault.New(fault.NoQuorum, "VM %s holds no replica of the control log", p.Board.Self)
	}
	c, err := p.Replica.Read(ctx)
	if err != nil {
		return 0, err
	}
	return c.Revision, nil
}

// Leader returns the peer address of the control VM that leads as far as is
// known here.
func (p *Proposer) Leader() (address string, known bool) {
	for _, m := range p.candidates() {
		if p.Replica != nil && m.ID == p.Replica.Status().Leader {
			return m.PeerAddress, true
		}
	}
	return "", false
}
