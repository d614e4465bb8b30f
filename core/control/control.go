// Package control is the replicated state machine of the control log. Its state
// is the catalogue (the cluster's configuration), the bookings of calls that may
// run at most once, the lease for commands to engines, and the answers already
// given to operators' mutations. It is deterministic: every replica that applies
// the same commands in the same order reaches the same state.
package control

import (
	"kingcuprill/core/booking"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/enginelease"
	"kingcuprill/core/fault"
)

// MaxAnswered is the number of mutations whose answers are remembered. A mutation
// sent again with the same request id gets its first answer.
const MaxAnswered = 20000

// Command is one entry of the control log. Exactly one of Change, Claim,
// Finish and EngineLease is set. The answer to a change without a request id is
// not remembered, so the change must be safe to apply twice.
type Command struct {
	RequestID        string
	Digest           string // of the change; must be the same when it is sent again
	ExpectedRevision uint64 // the change fails at any other revision
	AnyRevision      bool   // ignore ExpectedRevision
	Change           *catalogue.Change
	Claim            *booking.Claim
	Finish           *booking.Finish
	EngineLease      *enginelease.Request
}

// Result is the answer to a command. Revision is the catalogue's revision after
// the command, or after the first application of a repeated mutation.
type Result struct {
	Revision    uint64
	Booking     booking.Booking
	Fresh       bool // the claim's owner may dispatch the call
	EngineLease enginelease.Lease
	Err         *fault.Error
}

// Answered is the remembered answer to an operator's mutation.
type Answered struct {
	RequestID string
	Digest    string
	Revision  uint64
	Err       *fault.Error
}

// State is the replicated state. It is not safe for concurrent use, except that a
// Catalogue once read is immutable.
type State struct {
	Catalogue   *catalogue.Catalogue
	Ledger      *booking.Ledger
	EngineLease enginelease.Lease
	answered    map[string]Answered
	answeredIDs []string // keys of answered, oldest first
}

// New returns the empty state.
func New() *State {
	return &State{
		Catalogue: catalogue.New(),
		Ledger:    booking.NewLedger(),
		answered:  map[string]Answered{},
	}
}

// Apply applies one committed command. Errors are part of the result, so that all
// replicas give the same ones.
func (s *State) Apply(command Command) (result Result) {
	switch {
	case command.Change != nil:
		result = s.applyChange(command)
	case command.Claim != nil:
		row, fresh, err := s.Ledger.Claim(*command.Claim)
		result = Result{Booking: row, Fresh: fresh, Err: asFault(err)}
	case command.Finish != nil:
		row, err := s.Ledger.Finish(*command.Finish)
		result = Result{Booking: row, Err: asFault(err)}
	case command.EngineLease != nil:
		lease, err := s.EngineLease.Grant(*command.EngineLease)
		if err == nil {
			s.EngineLease = lease
		}
		result = Result{EngineLease: lease, Err: asFault(err)}
	}
	if result.Revision == 0 {
		result.Revision = s.Catalogue.Revision
	}
	return result
}

func (s *State) applyChange(command Command) Result {
	if earlier, found := s.answered[command.RequestID]; found && command.RequestID != "" {
		if earlier.Digest != command.Digest {
			return Result{Err: fault.New(fault.Conflict, "request_id %q was used for another change", command.RequestID)}
		}
		return Result{Revision: earlier.Revision, Err: earlier.Err}
	}
	if !command.AnyRevision && command.ExpectedRevision != s.Catalogue.Revision {
		// Not remembered: the operator may send the same request id again with the new revision.
		return Result{Err: fault.New(fault.StaleRevision, "expected_revision %d is not the current revision %d",
			command.ExpectedRevision, s.Catalogue.Revision)}
	}
	next, err := s.Catalogue.With(*command.Change)
	if err == nil {
		s.Catalogue = next
	}
	answer := Answered{RequestID: command.RequestID, Digest: command.Digest, Revision: s.Catalogue.Revision, Err: asFault(err)}
	if command.RequestID != "" {
		s.Remember(answer)
	}
	return Result{Revision: answer.Revision, Err: answer.Err}
}

// Remember stores the answer to a mutation. Beyond MaxAnswered, it removes the
// oldest one.
func (s *State) Remember(answer Answered) {
	s.answered[answer.RequestID] = answer
	s.answeredIDs = append(s.answeredIDs, answer.RequestID)
	if len(s.answeredIDs) > MaxAnswered {
		delete(s.answered, s.answeredIDs[0])
		s.answeredIDs = s.answeredIDs[1:]
	}
}

// RememberedAnswers returns the remembered answers, oldest first.
func (s *State) RememberedAnswers() []Answered {
	rows := make([]Answered, 0, len(s.answeredIDs))
	for _, id := range s.answeredIDs {
		rows = append(rows, s.answered[id])
	}
	return rows
}

// asFault returns an error as a fault.Error, with the code that it wraps if any.
func asFault(err error) *fault.Error {
	if err == nil {
		return nil
	}
	if e, ok := err.(*fault.Error); ok {
		return e
	}
	return fault.New(fault.CodeOf(err), "%s", err)
}
