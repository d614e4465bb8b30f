// Package vm serves the calls between VMs (schema rpc/vm). It authenticates the
// requests and passes them on to the component that each call is for.
package vm

import (
	"context"
	"net/http"

	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/book"
	"kingcuprill/io/borrow"
	"kingcuprill/io/cataloguesync"
	"kingcuprill/io/codec"
	"kingcuprill/io/draw"
	"kingcuprill/io/follow"
	"kingcuprill/io/forward"
	"kingcuprill/io/gossip"
	"kingcuprill/io/peer"
	"kingcuprill/io/propose"
	"kingcuprill/io/replica"
	"kingcuprill/io/report"
	"kingcuprill/io/streamversion"
	"kingcuprill/io/withdraw"
	"kingcuprill/rpc/operator"
	"kingcuprill/rpc/vm"
)

// maxBodyBytes bounds the body of one call, which may hold a snapshot of the state.
const maxBodyBytes = 256 << 20

// Server serves the calls of other VMs. Its errors carry a code of package fault.
type Server struct {
	VMState      *vmstate.State
	Replica      *replica.Replica // nil on a VM that holds no replica of the control log
	Proposer     *propose.Proposer
	Follower     *cataloguesync.Follower
	Gossiper     *gossip.Gossip
	Withdrawer   *withdraw.Withdrawer
	Borrower     *borrow.Borrower
	Reporter     *report.Reporter
	Forwarder    *forward.Server
	Answers      *book.Answers
	FollowServer *follow.Server // nil on a VM that entry VMs don't follow
	DrawServer   *draw.Server   // nil on a VM that entry VMs don't follow
	// StreamVersions is nil on a VM that entry VMs don't follow.
	StreamVersions *streamversion.Server
}

// Handler returns the handler of the peer listener. It rejects requests without a
// valid signature.
func (s *Server) Handler(credentials peer.Credentials) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(vm.VMPathPrefix, vm.NewVMServer(s))
	mux.HandleFunc("POST "+forward.GeneratePath, s.Forwarder.ServeGenerate)
	mux.HandleFunc("POST "+forward.CallPath, s.Forwarder.ServeCall)
	return credentials.Middleware(maxBodyBytes, mux)
}

// Gossip exchanges membership updates.
func (s *Server) Gossip(_ context.Context, message *vm.GossipMessage) (*vm.GossipMessage, error) {
	return s.Gossiper.HandleMessage(message), nil
}

// Probe tests whether this VM reaches a third VM, for a VM that doesn't reach it.
func (s *Server) Probe(ctx context.Context, request *vm.ProbeRequest) (*vm.ProbeResponse, error) {
	return &vm.ProbeResponse{Reached: s.Gossiper.Probe(ctx, request.GetVm())}, nil
}

// Step delivers Raft messages to the replica.
func (s *Server) Step(_ context.Context, request *vm.StepRequest) (*vm.StepResponse, error) {
	if s.Replica == nil {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "VM %s holds no replica of the control log", s.VMState.Self))
	}
	messages := make([]raft.Message, 0, len(request.GetMessages()))
	for _, m := range request.GetMessages() {
		messages = append(messages, codec.ToMessage(m))
	}
	s.Replica.Step(messages)
	return &vm.StepResponse{}, nil
}

// Propose commits a command if this VM leads the control log. Failures, with the
// leader as far as it is known, are part of the response.
func (s *Server) Propose(ctx context.Context, request *vm.ProposeRequest) (*vm.ProposeResponse, error) {
	if s.Replica == nil {
		return propose.ToResponse(control.Result{}, fault.New(fault.NoQuorum, "VM %s holds no replica of the control log", s.VMState.Self), ""), nil
	}
	result, err := s.Replica.Propose(ctx, request.GetCommand())
	return propose.ToResponse(result, err, s.Replica.Status().Leader), nil
}

// Pull returns the changes that a VM lacks, or the whole catalogue.
func (s *Server) Pull(_ context.Context, request *vm.PullRequest) (*vm.PullResponse, error) {
	return s.Follower.HandlePull(request.GetAfterRevision()), nil
}

// Withdraw puts the withdrawals of keys in force and forwards new ones to other VMs.
func (s *Server) Withdraw(ctx context.Context, request *vm.WithdrawRequest) (*vm.WithdrawResponse, error) {
	s.Withdrawer.ApplyAndForward(ctx, request.GetKeys())
	return &vm.WithdrawResponse{}, nil
}

// Borrow lends a part of this VM's share in an organisation's limit.
func (s *Server) Borrow(_ context.Context, request *vm.BorrowRequest) (*vm.BorrowResponse, error) {
	return s.Borrower.Lend(request), nil
}

// Quarantine merges what another VM has found out about crashes of targets.
func (s *Server) Quarantine(_ context.Context, request *vm.QuarantineRequest) (*vm.QuarantineResponse, error) {
	s.VMState.Quarantine.Merge(codec.ToCrashes(request.GetCrashes()))
	return &vm.QuarantineResponse{}, nil
}

// FetchAnswer returns the answer of a booking that is stored on this VM only.
func (s *Server) FetchAnswer(_ context.Context, request *vm.FetchAnswerRequest) (*vm.FetchAnswerResponse, error) {
	kept, found := s.Answers.Read(request.GetClaimId(), request.GetRegion())
	if !found {
		return &vm.FetchAnswerResponse{}, nil
	}
	return &vm.FetchAnswerResponse{Found: true, ContentType: kept.ContentType, Body: kept.Body}, nil
}

// Burn returns the burn rates of this VM.
func (s *Server) Burn(context.Context, *operator.BurnRequest) (*operator.BurnResponse, error) {
	return &operator.BurnResponse{Rows: s.Reporter.Own()}, nil
}

// Read returns the catalogue after a majority has confirmed that this VM leads.
func (s *Server) Read(ctx context.Context, _ *vm.ReadRequest) (*vm.ReadResponse, error) {
	if s.Replica == nil {
		return nil, peer.ToTwirp(fault.New(fault.NoQuorum, "VM %s holds no replica of the control log", s.VMState.Self))
	}
	answer, err := s.Proposer.ReadLocal(ctx)
	return answer, peer.ToTwirp(err)
}

// ChangeReplicas changes the replica set if this VM leads the control log.
func (s *Server) ChangeReplicas(ctx context.Context, request *operator.ChangeReplicasRequest) (*operator.ChangeReplicasResponse, error) {
	answer, err := s.Proposer.ChangeReplicasLocal(ctx, request)
	return answer, peer.ToTwirp(err)
}

// Confirm lets a majority confirm that this VM leads the control log, and returns
// its revision.
func (s *Server) Confirm(ctx context.Context, _ *vm.ConfirmRequest) (*vm.ConfirmResponse, error) {
	revision, err := s.Proposer.ConfirmLocal(ctx)
	if err != nil {
		return nil, peer.ToTwirp(err)
	}
	return &vm.ConfirmResponse{Revision: revision}, nil
}

// Follow answers a long poll of an entry VM with what is newer than its state.
func (s *Server) Follow(ctx context.Context, request *vm.FollowRequest) (*vm.FollowResponse, error) {
	if s.FollowServer == nil {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "VM %s is not followed by entry VMs", s.VMState.Self))
	}
	return s.FollowServer.Answer(ctx, request), nil
}

// DrawAll grants another control VM tokens of several organisations' limits.
func (s *Server) DrawAll(_ context.Context, request *vm.DrawAllRequest) (*vm.DrawAllResponse, error) {
	if s.DrawServer == nil {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "VM %s has no pool of limits", s.VMState.Self))
	}
	answer, err := s.DrawServer.DrawAll(request)
	if err != nil {
		return nil, peer.ToTwirp(err)
	}
	return answer, nil
}

// Draw grants an entry VM tokens of an organisation's limit.
func (s *Server) Draw(ctx context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	if s.DrawServer == nil {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "VM %s has no pool of limits", s.VMState.Self))
	}
	answer, err := s.DrawServer.Draw(ctx, request)
	if err != nil {
		return nil, peer.ToTwirp(err)
	}
	return answer, nil
}

// RecordStreams remembers at which versions of targets streams have begun.
func (s *Server) RecordStreams(_ context.Context, request *vm.RecordStreamsRequest) (*vm.RecordStreamsResponse, error) {
	if s.StreamVersions == nil {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "VM %s keeps no versions of streams", s.VMState.Self))
	}
	s.StreamVersions.Record(request)
	return &vm.RecordStreamsResponse{}, nil
}

// FindStream returns what is known of the version at which a stream has begun.
func (s *Server) FindStream(_ context.Context, request *vm.FindStreamRequest) (*vm.FindStreamResponse, error) {
	if s.StreamVersions == nil {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "VM %s keeps no versions of streams", s.VMState.Self))
	}
	return s.StreamVersions.Find(request), nil
}
