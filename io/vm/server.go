// Package vm is the server side of the calls between VMs.
package vm

import (
	"context"
	"net/http"

	"kingcuprill/core/board"
	"kingcuprill/core/control"
	"kingcuprill/core/fault"
	"kingcuprill/core/raft"
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
	"kingcuprill/io/withdraw"
	"kingcuprill/rpc/operator"
	"kingcuprill/rpc/vm"
)

// maxBody bounds one call, a snapshot of the state included, in bytes.
const maxBody = 256 << 20

// Server answers other VMs.
type Server struct {
	Board      *board.Board
	Replica    *replica.Replica // nil on a VM without one
	Proposer   *propose.Proposer
	Follower   *cataloguesync.Follower
	Gossiper   *gossip.Gossip
	Withdrawer *withdraw.Withdrawer
	Borrower   *borrow.Borrower
	Reporter   *report.Reporter
	Forwarder  *forward.Server
	Answers    *book.Answers
	Leader     *follow.Server // nil on a VM that entry VMs don't follow
	Drawer     *draw.Server   // nil on a VM that entry VMs don't follow
}

// Handler returns the routes of the peer listener. Only signed requests pass.
func (s *Server) Handler(credentials peer.Credentials) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(vm.VMPathPrefix, vm.NewVMServer(s))
	mux.HandleFunc("POST "+forward.GeneratePath, s.Forwarder.ServeGenerate)
	mux.HandleFunc("POST "+forward.CallPath, s.Forwarder.ServeCall)
	return credentials.Middleware(maxBody, mux)
}

// Gossip exchanges membership news.
func (s *Server) Gossip(_ context.Context, message *vm.GossipMessage) (*vm.GossipMessage, error) {
	return s.Gossiper.HandleMessage(message), nil
}

// Probe reaches out to a third VM.
func (s *Server) Probe(ctx context.Context, request *vm.ProbeRequest) (*vm.ProbeResponse, error) {
	return &vm.ProbeResponse{Reached: s.Gossiper.Probe(ctx, request.GetVm())}, nil
}

// Step delivers messages to the replica.
func (s *Server) Step(_ context.Context, request *vm.StepRequest) (*vm.StepResponse, error) {
	if s.Replica == nil {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "VM %s holds no replica of the control log", s.Board.Self))
	}
	messages := make([]raft.Message, 0, len(request.GetMessages()))
	for _, m := range request.GetMessages() {
		messages = append(messages, codec.ToMessage(m))
	}
	s.Replica.Step(messages)
	return &vm.StepResponse{}, nil
}

// Propose commits a command if this VM leads the control log.
func (s *Server) Propose(ctx context.Context, request *vm.ProposeRequest) (*vm.ProposeResponse, error) {
	if s.Replica == nil {
		return propose.ToResponse(control.Result{}, fault.New(fault.NoQuorum, "VM %s holds no replica of the control log", s.Board.Self), ""), nil
	}
	result, err := s.Replica.Propose(ctx, request.GetCommand())
	return propose.ToResponse(result, err, s.Replica.Status().Leader), nil
}

// Pull answers with what a VM lacks of the catalogue.
func (s *Server) Pull(_ context.Context, request *vm.PullRequest) (*vm.PullResponse, error) {
	return s.Follower.HandlePull(request.GetAfterRevision()), nil
}

// Withdraw takes in withdrawn keys and passes new ones on.
func (s *Server) Withdraw(ctx context.Context, request *vm.WithdrawRequest) (*vm.WithdrawResponse, error) {
	s.Withdrawer.ApplyAndForward(ctx, request.GetKeys())
	return &vm.WithdrawResponse{}, nil
}

// Borrow lends part of an organisation's limit.
func (s *Server) Borrow(_ context.Context, request *vm.BorrowRequest) (*vm.BorrowResponse, error) {
	return s.Borrower.Lend(request), nil
}

// Quarantine takes in strikes and refusals of requests that crash targets.
func (s *Server) Quarantine(_ context.Context, request *vm.QuarantineRequest) (*vm.QuarantineResponse, error) {
	s.Board.Quarantine.Refuse(request.GetFingerprints())
	for _, strike := range request.GetStrikes() {
		s.Board.Quarantine.RecordCrash(strike.GetFingerprint(), strike.GetBoot())
	}
	return &vm.QuarantineResponse{}, nil
}

// FetchAnswer reads the answer of a booking that is kept on this VM only.
func (s *Server) FetchAnswer(_ context.Context, request *vm.FetchAnswerRequest) (*vm.FetchAnswerResponse, error) {
	kept, found := s.Answers.Read(request.GetClaimId(), request.GetRegion())
	if !found {
		return &vm.FetchAnswerResponse{}, nil
	}
	return &vm.FetchAnswerResponse{Found: true, ContentType: kept.ContentType, Body: kept.Body}, nil
}

// Burn answers with this VM's own burn rows.
func (s *Server) Burn(context.Context, *operator.BurnRequest) (*operator.BurnResponse, error) {
	return &operator.BurnResponse{Rows: s.Reporter.Own()}, nil
}

// Read confirms the leader and answers with its catalogue.
func (s *Server) Read(ctx context.Context, _ *vm.ReadRequest) (*vm.ReadResponse, error) {
	if s.Replica == nil {
		return nil, peer.ToTwirp(fault.New(fault.NoQuorum, "VM %s holds no replica of the control log", s.Board.Self))
	}
	answer, err := s.Proposer.ReadLocal(ctx)
	return answer, peer.ToTwirp(err)
}

// ChangeReplicas changes the replica set if this VM leads the control log.
func (s *Server) ChangeReplicas(ctx context.Context, request *operator.ChangeReplicasRequest) (*operator.ChangeReplicasResponse, error) {
	answer, err := s.Proposer.ChangeReplicasLocal(ctx, request)
	return answer, peer.ToTwirp(err)
}

// Confirm proves that this VM leads the control log.
func (s *Server) Confirm(ctx context.Context, _ *vm.ConfirmRequest) (*vm.ConfirmResponse, error) {
	revision, err := s.Proposer.ConfirmLocal(ctx)
	if err != nil {
		return nil, peer.ToTwirp(err)
	}
	return &vm.ConfirmResponse{Revision: revision}, nil
}

// Follow answers an entry VM with what is new.
func (s *Server) Follow(ctx context.Context, request *vm.FollowRequest) (*vm.FollowResponse, error) {
	if s.Leader == nil {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "VM %s is not followed by entry VMs", s.Board.Self))
	}
	return s.Leader.Answer(ctx, request), nil
}

// Draw hands tokens of an organisation's limit out.
func (s *Server) Draw(ctx context.Context, request *vm.DrawRequest) (*vm.DrawResponse, error) {
	if s.Drawer == nil {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "VM %s has no pool of limits", s.Board.Self))
	}
	answer, err := s.Drawer.Draw(ctx, request)
	if err != nil {
		return nil, peer.ToTwirp(err)
	}
	return answer, nil
}
