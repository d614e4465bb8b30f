// Package board is the blackboard of a VM: the sections that controllers write
// and requests read.
package board

import (
	"sync/atomic"
	"time"

	"kingcuprill/core/blackboard"
	"kingcuprill/core/burn"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/limit"
	"kingcuprill/core/membership"
	"kingcuprill/core/quarantine"
	"kingcuprill/core/summary"
	"kingcuprill/core/target"
	"kingcuprill/core/withdrawal"
)

// Board is all that one VM knows.
type Board struct {
	Self       string
	Region     string
	DataCentre string

	Catalogue  *blackboard.Section[catalogue.Catalogue]
	Withdrawn  *blackboard.Section[withdrawal.Set]
	Summaries  *blackboard.Section[summary.Set]
	Members    *membership.Table
	Targets    *target.Table
	Limiter    *limit.Limiter
	Quarantine *quarantine.List
	Burn       *burn.Counter
	Draining   atomic.Bool
}

// New returns the board of a VM that knows only itself.
func New(self membership.Member, targetLease time.Duration) *Board {
	section := blackboard.NewSection(catalogue.New())
	return &Board{
		Self:       self.ID,
		Region:     self.Region,
		DataCentre: self.DataCentre,
		Catalogue:  section,
		Withdrawn:  blackboard.NewSection(withdrawal.New()),
		Summaries:  blackboard.NewSection(&summary.Set{ByDataCentre: map[string]summary.Summary{}}),
		Members:    membership.NewTable(self),
		Targets:    target.NewTable(targetLease),
		Limiter:    limit.NewLimiter(self.ID, section),
		Quarantine: quarantine.NewList(),
		Burn:       burn.NewCounter(self.Region),
	}
}

// SelfMember returns this VM's own row.
func (b *Board) SelfMember() membership.Member {
	return b.Members.View.Read().Members[b.Self]
}

// KeyDead tells whether a key must not be used: withdrawn by either way, or
// gone with its organisation.
func (b *Board) KeyDead(id string) bool {
	if b.Withdrawn.Read().Has(id) {
		return true
	}
	key, found := b.Catalogue.Read().Keys[id]
	return !found || key.Withdrawn
}
