// Package vmstate holds the state of one VM that background controllers update and
// requests read: the catalogue, the members, the targets, the rate limits and
// the rest. Each part is consistent in itself and safe for concurrent use; there
// is no consistency across parts.
package vmstate

import (
	"sync/atomic"
	"time"

	"kingcuprill/core/burn"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/drain"
	"kingcuprill/core/limit"
	"kingcuprill/core/membership"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/summary"
	"kingcuprill/core/target"
	"kingcuprill/core/watch"
	"kingcuprill/core/withdrawal"
)

// State is the shared state of one VM.
type State struct {
	Self       string // id of this VM
	Region     string
	DataCentre string

	Catalogue  *watch.Value[catalogue.Catalogue]
	Withdrawn  *watch.Value[withdrawal.Set]
	Summaries  *watch.Value[summary.Set]
	Members    *membership.Table
	Targets    *target.Table
	Limiter    *limit.Limiter
	Quarantine *quarantine.List
	Burn       *burn.Counter
	Draining   atomic.Bool
	Stop       drain.Clock // begins with Draining
}

// New returns the state of a VM that has just started: an empty catalogue and no
// members but itself. targetLease is the time after which a target that doesn't
// renew its announcement is no longer used.
func New(self membership.Member, targetLease time.Duration) *State {
	current := watch.NewValue(catalogue.New())
	return &State{
		Self:       self.ID,
		Region:     self.Region,
		DataCentre: self.DataCentre,
		Catalogue:  current,
		Withdrawn:  watch.NewValue(withdrawal.New()),
		Summaries:  watch.NewValue(&summary.Set{ByDataCentre: map[string]summary.Summary{}}),
		Members:    membership.NewTable(self),
		Targets:    target.NewTable(targetLease),
		Limiter:    limit.NewLimiter(self.ID, current),
		Quarantine: quarantine.NewList(),
		Burn:       burn.NewCounter(self.Region),
	}
}

// SelfMember returns this VM's own row.
func (s *State) SelfMember() membership.Member {
	return s.Members.View.Read().Members[s.Self]
}

// KeyInvalid reports whether a key must be refused: it was withdrawn, in the set
// of withdrawn keys or in the catalogue, or it was removed with its organisation.
func (s *State) KeyInvalid(id string) bool {
	if s.Withdrawn.Read().Has(id) {
		return true
	}
	key, found := s.Catalogue.Read().Keys[id]
	return !found || key.Withdrawn
}
