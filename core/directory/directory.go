// Package directory answers which entry VMs a caller should use.
package directory

import (
	"slices"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/membership"
	"kingcuprill/core/share"
)

// TimeToLive is how long a caller may use an answer.
const TimeToLive = 10 * time.Second

// Order returns the usable VMs for an organisation: its home VMs of the
// nearest data centre, the others there, the rest of the region, then the rest.
// Leaving and unreachable VMs are left out.
func Order(c *catalogue.Catalogue, view *membership.View, self membership.Member, organisation string) []membership.Member {
	homes := share.Homes(c, organisation, self.DataCentre)
	members := view.Usable()
	rank := func(m membership.Member) int {
		home := slices.Index(homes, m.ID)
		if home < 0 {
			home = len(homes)
		}
		switch {
		case m.DataCentre == self.DataCentre:
			return home
		case m.Region == self.Region:
			return 1000 + home
		}
		return 2000 + home
	}
	slices.SortStableFunc(members, func(a, b membership.Member) int { return rank(a) - rank(b) })
	return members
}
