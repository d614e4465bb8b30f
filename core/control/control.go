// Package control is the replicated state machine behind the control log: the
// catalogue, the bookings, the right to give orders and the answers already
// given to operators. Equal commands in equal order give equal states.
package control

import (
	"kingcuprill/core/booking"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/fault"
	"kingcuprill/core/orders"
)

// MaxAnswered is the number of answered mutations that are remembered, so that
// a resend gets its first answer again.
const MaxAnswered = 20000

// Command is one entry of the control log. Exactly one of Change, Claim,
// Finish and Orders is set. A change without a request id is one that may be
// applied twice; its answer is not remembered.
type Command struct {
	RequestID        string
	Digest           string // of the change; a resend must carry the same one
	ExpectedRevision uint64
	AnyRevision      bool
	Change           *catalogue.Change
	Claim            *booking.Claim
	Finish           *booking.Finish
	Orders           *orders.Request
}

// Result is the answer to a command.
type Result struct {
	Revision uint64
	Booking  booking.Booking
	Fresh    bool // the claim may dispatch
	Orders   orders.Lease
	Err      *fault.Error
}

// Answered is the remembered answer to an operator's mutation.
type Answered struct {
	RequestID string
	Digest    string
	Revision  uint64
	Err       *fault.Error
}

// State is the replicated state. It is not safe for concurrent use, but the
// catalogue it publishes is immutable.
type State struct {
	Catalogue *catalogue.Catalogue
	Ledger    *booking.Ledger
	Orders    orders.Lease
	answered  map[string]Answered
	order     []string
}

// New returns the empty state.
func New() *State {
	return &State{
		Catalogue: catalogue.New(),
		Ledger:    booking.NewLedger(),
		answered:  map[string]Answered{},
	}
}

// Apply carries out one committed command.
func (s *State) Apply(command Command) (result Result) {
	switch {
	case command.Change != nil:
		result = s.change(command)
	case command.Claim != nil:
		row, fresh, err := s.Ledger.Claim(*command.Claim)
		result = Result{Booking: row, Fresh: fresh, Err: coded(err)}
	case command.Finish != nil:
		row, err := s.Ledger.Finish(*command.Finish)
		result = Result{Booking: row, Err: coded(err)}
	case command.Orders != nil:
		lease, err := s.Orders.Grant(*command.Orders)
		if err == nil {
			s.Orders = lease
		}
		result = Result{Orders: lease, Err: coded(err)}
	}
	if result.Revision == 0 {
		result.Revision = s.Catalogue.Revision
	}
	return result
}

func (s *State) change(command Command) Result {
	if earlier, found := s.answered[command.RequestID]; found && command.RequestID != "" {
		if earlier.Digest != command.Digest {
			return Result{Err: fault.New(fault.Conflict, "request_id %q was used for another change", command.RequestID)}
		}
		return Result{Revision: earlier.Revision, Err: earlier.Err}
	}
	if !command.AnyRevision && command.ExpectedRevision != s.Catalogue.Revision {
		// Not remembered: the operator may send the same request again at the new revision.
		return Result{Err: fault.New(fault.StaleRevision, "expected_revision %d is not the current revision %d",
			command.ExpectedRevision, s.Catalogue.Revision)}
	}
	next, err := s.Catalogue.With(*command.Change)
	if err == nil {
		s.Catalogue = next
	}
	answer := Answered{RequestID: command.RequestID, Digest: command.Digest, Revision: s.Catalogue.Revision, Err: coded(err)}
	if command.RequestID != "" {
		s.Remember(answer)
	}
	return Result{Revision: answer.Revision, Err: answer.Err}
}

// Remember keeps the answer to a mutation and forgets the oldest beyond
// MaxAnswered.
func (s *State) Remember(answer Answered) {
	s.answered[answer.RequestID] = answer
	s.order = append(s.order, answer.RequestID)
	if len(s.order) > MaxAnswered {
		delete(s.answered, s.order[0])
		s.order = s.order[1:]
	}
}

// RememberedAnswers returns the remembered answers, oldest first.
func (s *State) RememberedAnswers() []Answered {
	rows := make([]Answered, 0, len(s.order))
	for _, id := range s.order {
		rows = append(rows, s.answered[id])
	}
	return rows
}

func coded(err error) *fault.Error {
	if err == nil {
		return nil
	}
	if e, ok := err.(*fault.Error); ok {
		return e
	}
	return fault.New(fault.CodeOf(err), "%s", err)
}
