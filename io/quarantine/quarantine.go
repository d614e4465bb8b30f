// Package quarantine serves the operators' calls that show and lift what a VM knows of
// requests that crash targets.
package quarantine

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/core/quarantine"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/operator"
)

// Server serves the calls. Its errors carry a code of package fault.
type Server struct {
	Crashes *quarantine.List
	Log     *slog.Logger
}

// Handler returns a handler of the calls beside the metrics, for a VM whose operators
// have no token.
func (s *Server) Handler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operator.QuarantinesPathPrefix, operator.NewQuarantinesServer(s))
	mux.Handle("/", metrics)
	return mux
}

// List returns what is suspect or refused.
func (s *Server) List(context.Context, *operator.ListQuarantinesRequest) (*operator.ListQuarantinesResponse, error) {
	answer := &operator.ListQuarantinesResponse{}
	for _, e := range s.Crashes.Entries() {
		row := &operator.Quarantine{Service: e.Service, Parts: e.Parts, Crashes: int32(e.Crashes), Organisations: e.Organisations}
		if left := time.Until(e.Until); !e.Until.IsZero() && left > 0 {
			row.Refused, row.LeftNanoseconds = true, int64(left)
		}
		answer.Quarantines = append(answer.Quarantines, row)
	}
	return answer, nil
}

// Lift clears a part of all crashes.
func (s *Server) Lift(_ context.Context, request *operator.LiftQuarantineRequest) (*operator.LiftQuarantineResponse, error) {
	part := request.GetPart()
	if part == "" {
		return nil, peer.ToTwirp(fault.New(fault.Invalid, "part: it must be set"))
	}
	if !s.Crashes.Lift(part) {
		return nil, peer.ToTwirp(fault.New(fault.NotFound, "part: %q is neither suspect nor refused on this VM", part))
	}
	s.Log.Info("part is cleared of all crashes by an operator", "part", part)
	return &operator.LiftQuarantineResponse{}, nil
}
