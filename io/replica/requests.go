package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
)

// Propose commits a command and returns its result. With an error of code
// fault.NoQuorum or fault.Invalid, the command was not and will not be carried out;
// with fault.OutcomeUnknown, it may still be.
func (r *Replica) Propose(ctx context.Context, command *state.Command) (result control.Result, err error) {
	p := proposal{command: command, answer: make(chan proposalAnswer, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return result, fault.New(fault.NoQuorum, "the queue of proposals stayed full until the deadline; the command was not proposed")
	}
	select {
	case answer := <-p.answer:
		return answer.result, answer.err
	case <-ctx.Done():
		return result, fault.New(fault.OutcomeUnknown, "no majority of the replicas answered in time; the change may still come into force")
	}
}

func (r *Replica) propose(p proposal) {
	if err := checkCommand(p.command); err != nil {
		p.answer <- proposalAnswer{err: err}
		return
	}
	r.setCommandTime(p.command)
	data, err := proto.Marshal(p.command)
	if err != nil {
		p.answer <- proposalAnswer{err: fault.New(fault.Invalid, "encode the command: %v", err)}
		return
	}
	if len(data) > maxCommandBytes {
		p.answer <- proposalAnswer{err: fault.New(fault.Invalid, "the command has %d bytes, more than the %d that the control log can hold; split the change", len(data), maxCommandBytes)}
		return
	}
	index, term, err := r.node.Propose(data)
	if err != nil {
		p.answer <- proposalAnswer{err: fault.New(fault.NoQuorum, "%v", err)}
		return
	}
	r.pendingProposals[index] = pendingProposal{term: term, answer: p.answer}
}

// checkCommand refuses a command that this replica couldn't apply once it is committed.
func checkCommand(command *state.Command) error {
	if _, err := codec.ToCommand(command); err != nil {
		return fault.New(fault.Invalid, "the leader of the control log can't apply the command: %v; propose it when all control VMs run the newer build", err)
	}
	if command.GetKind() == nil {
		return fault.New(fault.Invalid, "the command is empty")
	}
	return nil
}

// setCommandTime sets the time of a command on the ledger's clock (see
// booking.Ledger), for commands that have one.
func (r *Replica) setCommandTime(command *state.Command) {
	now := r.ledgerNow().UnixNano()
	switch kind := command.GetKind().(type) {
	case *state.Command_Claim:
		kind.Claim.NowUnixNanoseconds = now
	case *state.Command_Finish:
		kind.Finish.NowUnixNanoseconds = now
	case *state.Command_Orders:
		kind.Orders.NowUnixNanoseconds = now
	}
}

// ledgerNow returns the clock of the booking ledger: its replicated value at the
// first command of this term, plus the time that has passed since on the local
// monotonic clock.
func (r *Replica) ledgerNow() time.Time {
	status := r.node.Status()
	if status.Term != r.clockTerm {
		r.clockTerm = status.Term
		r.clockBase = r.state.Ledger.Now()
		r.clockStart = time.Now()
	}
	return r.clockBase.Add(time.Since(r.clockStart))
}

// Read returns the catalogue after a majority has confirmed that this replica
// is the leader. The error has the code fault.NoQuorum.
func (r *Replica) Read(ctx context.Context) (c *catalogue.Catalogue, err error) {
	answer := make(chan readAnswer, 1)
	err = r.runInLoop(ctx, func() {
		r.lastReadContext++
		if err := r.node.ReadIndex(r.lastReadContext); err != nil {
			answer <- readAnswer{err: fault.New(fault.NoQuorum, "%v", err)}
			return
		}
		r.pendingReads[r.lastReadContext] = answer
	})
	if err != nil {
		return nil, err
	}
	select {
	case a := <-answer:
		return a.catalogue, a.err
	case <-ctx.Done():
		return nil, fault.New(fault.NoQuorum, "no majority of the replicas confirmed the leader in time")
	}
}

func (r *Replica) answerReads(ready []raft.ReadState) {
	r.readyReads = append(r.readyReads, ready...)
	applied := r.node.Status().Applied
	kept := r.readyReads[:0]
	for _, read := range r.readyReads {
		if read.Index > applied {
			kept = append(kept, read)
			continue
		}
		if answer, found := r.pendingReads[read.Context]; found {
			answer <- readAnswer{catalogue: r.state.Catalogue}
			delete(r.pendingReads, read.Context)
		}
	}
	r.readyReads = kept
}

// failReads fails the pending reads when the replica is not the leader.
func (r *Replica) failReads() {
	if r.node.Status().Role == raft.Leader {
		return
	}
	for context, answer := range r.pendingReads {
		answer <- readAnswer{err: fault.New(fault.NoQuorum, "%v", raft.ErrNotLeader)}
		delete(r.pendingReads, context)
	}
	r.readyReads = nil
}
