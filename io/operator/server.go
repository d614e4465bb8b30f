// Package operator serves the operators' API (schema rpc/operator) of a VM: it reads
// and changes the catalogue, withdraws keys, changes the replicas of the control log
// and reports the status and the burn rates. All VMs answer alike; changes are passed
// on to the leader of the control log.
package operator

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/target"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/codec"
	"kingcuprill/io/peer"
	"kingcuprill/io/propose"
	"kingcuprill/io/quarantine"
	"kingcuprill/io/report"
	"kingcuprill/io/withdraw"
	"kingcuprill/rpc/operator"
	"kingcuprill/rpc/state"
)

// Server serves the calls of operators. Its errors carry a code of package fault.
type Server struct {
	VMState       *vmstate.State
	Proposer      *propose.Proposer
	Withdrawer    *withdraw.Withdrawer
	Reporter      *report.Reporter
	Token         string        // that every call must carry
	CommitTimeout time.Duration // timeout of one change
	Log           *slog.Logger
}

// maxBodyBytes bounds the body of one call.
const maxBodyBytes = 64 << 20

// Handler returns the handler of the operators' listener, which also serves the
// metrics. Calls without the operator token are answered with status 401.
func (s *Server) Handler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operator.OperatorPathPrefix, operator.NewOperatorServer(s))
	mux.Handle(operator.QuarantinesPathPrefix, operator.NewQuarantinesServer(&quarantine.Server{Crashes: s.VMState.Quarantine, Log: s.Log}))
	mux.Handle("GET /metrics", metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"code":"unauthenticated","msg":"the operator token is missing or wrong"}`))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) withCommitTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.CommitTimeout)
}

// Mutate commits one change of the catalogue. A request id makes it idempotent.
func (s *Server) Mutate(ctx context.Context, request *operator.MutateRequest) (answer *operator.MutateResponse, err error) {
	defer func() { err = peer.ToTwirp(err) }()
	if request.GetRequestId() == "" {
		return nil, fault.New(fault.Invalid, "request_id: it must be set, and be the same when a request is sent again")
	}
	change := codec.ToChange(request.GetChange())
	if err := change.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := s.withCommitTimeout(ctx)
	defer cancel()
	result, err := s.Proposer.Propose(ctx, &state.Command{
		RequestId: request.GetRequestId(), ExpectedRevision: request.GetExpectedRevision(), AnyRevision: request.GetAnyRevision(),
		Kind: &state.Command_Change{Change: request.GetChange()},
	})
	if err != nil {
		return nil, err
	}
	if result.Err != nil {
		return nil, result.Err
	}
	s.Log.Info("change is committed", "request_id", request.GetRequestId(), "revision", result.Revision)
	return &operator.MutateResponse{Revision: result.Revision}, nil
}

// GetCatalogue returns the catalogue of the leader (a linearizable read), or that of
// this VM if the request is local.
func (s *Server) GetCatalogue(ctx context.Context, request *operator.GetCatalogueRequest) (answer *operator.GetCatalogueResponse, err error) {
	defer func() { err = peer.ToTwirp(err) }()
	if request.GetLocal() {
		return &operator.GetCatalogueResponse{Catalogue: codec.FromCatalogue(s.VMState.Catalogue.Read())}, nil
	}
	ctx, cancel := s.withCommitTimeout(ctx)
	defer cancel()
	read, err := s.Proposer.Read(ctx)
	if err != nil {
		return nil, err
	}
	return &operator.GetCatalogueResponse{Catalogue: read.GetCatalogue()}, nil
}

// WithdrawKey makes a key invalid on every VM that can be reached, then commits the
// withdrawal. It needs no quorum: the response tells whether the withdrawal is
// committed and which VMs were not reached.
func (s *Server) WithdrawKey(ctx context.Context, request *operator.WithdrawKeyRequest) (answer *operator.WithdrawKeyResponse, err error) {
	defer func() { err = peer.ToTwirp(err) }()
	id := request.GetKeyId()
	if _, found := s.VMState.Catalogue.Read().Keys[id]; !found {
		if err := s.checkExists(ctx, id); err != nil {
			return nil, err
		}
	}
	reached := s.Withdrawer.Broadcast(ctx, []string{id})
	ctx, cancel := s.withCommitTimeout(ctx)
	defer cancel()
	committed := s.Withdrawer.Commit(ctx, id)
	s.Log.Info("key is withdrawn", "key_id", id, "committed", committed == nil, "unreached", len(reached.Unreached))
	return &operator.WithdrawKeyResponse{Committed: committed == nil, ReachedVms: reached.Reached, UnreachedVms: reached.Unreached}, nil
}

// checkExists asks the leader for a key that this VM doesn't know. Without a leader
// the key is taken to exist, as a withdrawal can do no more than end a key.
func (s *Server) checkExists(ctx context.Context, id string) error {
	ctx, cancel := s.withCommitTimeout(ctx)
	defer cancel()
	read, err := s.Proposer.Read(ctx)
	if err != nil {
		return nil
	}
	for _, key := range read.GetCatalogue().GetKeys() {
		if key.GetId() == id {
			return nil
		}
	}
	return fault.New(fault.NotFound, "key %q does not exist", id)
}

// Status returns the state of the VMs and targets as this VM sees them, and that of
// the replicas as the leader sees them. Without a leader the replicas are left out.
func (s *Server) Status(ctx context.Context, _ *operator.StatusRequest) (answer *operator.StatusResponse, err error) {
	answer = &operator.StatusResponse{AnsweredBy: s.VMState.Self, Revision: s.VMState.Catalogue.Read().Revision}
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if read, err := s.Proposer.Read(bounded); err == nil {
		answer.Leader, answer.Term, answer.Commit, answer.Applied = read.GetLeader(), read.GetTerm(), read.GetCommit(), read.GetApplied()
		answer.Replicas = read.GetReplicas()
	}
	answer.Vms = s.vmRows()
	answer.Targets = s.targetRows()
	return answer, nil
}

func (s *Server) vmRows() (rows []*operator.VMStatus) {
	c := s.VMState.Catalogue.Read()
	members := s.VMState.Members.View.Read().Members
	for _, m := range s.VMState.Members.All() {
		share := "not in the set"
		if row, found := c.VMs[m.ID]; found {
			share = string(row.State)
		}
		rows = append(rows, &operator.VMStatus{
			Id: m.ID, Region: m.Region, DataCentre: m.DataCentre, State: m.State.String(), Revision: m.Revision,
			Incarnation: m.Incarnation, ShareState: share,
		})
	}
	for id, row := range c.VMs {
		if _, known := members[id]; !known {
			rows = append(rows, &operator.VMStatus{
				Id: id, Region: row.Region, DataCentre: row.DataCentre, State: membership.Dead.String(), ShareState: string(row.State),
			})
		}
	}
	return rows
}

func (s *Server) targetRows() (rows []*operator.TargetStatus) {
	now := time.Now()
	for _, row := range s.VMState.Targets.View.Read().ByID {
		rows = append(rows, targetRow(row, now))
	}
	return rows
}

func targetRow(row *target.Target, now time.Time) *operator.TargetStatus {
	circuit := "closed"
	if !row.Live.Circuit.Closed() {
		circuit = "open"
	}
	if !now.Before(row.LeaseUntil) {
		circuit = "lease ended"
	}
	return &operator.TargetStatus{
		Id: row.ID, Service: row.Service, Region: row.Region, DataCentre: row.DataCentre, Address: row.Address, Models: row.Models,
		Capacity: int32(row.Capacity), InFlight: int32(row.Live.InFlight.Load()), Leaving: row.Leaving, Circuit: circuit,
	}
}

// ChangeReplicas adds, promotes or removes a replica.
func (s *Server) ChangeReplicas(ctx context.Context, request *operator.ChangeReplicasRequest) (answer *operator.ChangeReplicasResponse, err error) {
	defer func() { err = peer.ToTwirp(err) }()
	ctx, cancel := s.withCommitTimeout(ctx)
	defer cancel()
	return s.Proposer.ChangeReplicas(ctx, request)
}

// Burn returns the burn rates of all VMs, or those of this VM if the request is
// local.
func (s *Server) Burn(ctx context.Context, request *operator.BurnRequest) (*operator.BurnResponse, error) {
	if request.GetLocal() {
		return &operator.BurnResponse{Rows: s.Reporter.Own()}, nil
	}
	return s.Reporter.All(ctx), nil
}
