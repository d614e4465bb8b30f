// Package directory orders the VMs that a caller may send its requests to by
// preference. It uses this VM's own view of the members, which may lag behind.
package directory

import (
	"slices"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/membership"
	"kingcuprill/core/share"
)

// TimeToLive is how long a caller may cache the list of VMs.
const TimeToLive = 10 * time.Second

// Order returns the usable VMs for an organisation, best first: those in the data
// centre of self, then those in its region, then all others. Within each group,
// VMs that hold a base share of the organisation's rate limit come first. Members
// that are not alive are left out.
func Order(c *catalogue.Catalogue, view *membership.View, self membership.Member, organisation string) []membership.Member {
	homes := share.Homes(c, organisation, self.DataCentre)
	members := view.Usable()
	// Steps of 1000 keep the groups apart; an organisation has fewer homes.
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
