// Package share divides each organisation's limit among the VMs. Each data centre
// gets a part in proportion to its VMs. The part is split evenly among a few of
// them, the organisation's homes, which are chosen by rendezvous hashing.
//
// The shares of all VMs add up to at most one at any time, also while the VM set
// changes and some VMs have not seen the change yet. A change is settled once
// every VM has acknowledged it.
package share

import (
	"slices"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/rendezvous"
)

// HomesPerDataCentre is the number of VMs of a data centre that hold a base share
// of an organisation.
const HomesPerDataCentre = 2

// Of returns the base share of a VM in an organisation's limit, from 0 to 1. While
// a change of the VM set is not settled, it is the lower of the shares before and
// after the change.
func Of(c *catalogue.Catalogue, vm, organisation string) float64 {
	before := shareIn(c, vm, organisation, catalogue.VMLeaving, catalogue.VMStopped)
	if !c.Unsettled() {
		return before
	}
	return min(before, shareIn(c, vm, organisation, catalogue.VMJoining))
}

// shareIn returns the share of a VM if the active VMs and those in the given
// states form the VM set.
func shareIn(c *catalogue.Catalogue, vm, organisation string, states ...catalogue.VMState) float64 {
	byDataCentre := map[string][]string{}
	total := 0
	ownDataCentre := ""
	for id, row := range c.VMs {
		if row.State != catalogue.VMActive && !slices.Contains(states, row.State) {
			continue
		}
		byDataCentre[row.DataCentre] = append(byDataCentre[row.DataCentre], id)
		total++
		if id == vm {
			ownDataCentre = row.DataCentre
		}
	}
	if ownDataCentre == "" {
		return 0
	}
	homes := firstN(rendezvous.Order(organisation, byDataCentre[ownDataCentre]), HomesPerDataCentre)
	for _, home := range homes {
		if home == vm {
			weight := float64(len(byDataCentre[ownDataCentre])) / float64(total)
			return weight / float64(len(homes))
		}
	}
	return 0
}

// Homes returns the VMs that hold a base share of an organisation, those of the
// nearest data centre first.
func Homes(c *catalogue.Catalogue, organisation, nearest string) []string {
	byDataCentre := map[string][]string{}
	for id, row := range c.VMs {
		if row.State == catalogue.VMActive {
			byDataCentre[row.DataCentre] = append(byDataCentre[row.DataCentre], id)
		}
	}
	homes := firstN(rendezvous.Order(organisation, byDataCentre[nearest]), HomesPerDataCentre)
	for _, dataCentre := range rendezvous.Order(organisation, catalogue.SortedNames(byDataCentre)) {
		if dataCentre != nearest {
			homes = append(homes, firstN(rendezvous.Order(organisation, byDataCentre[dataCentre]), HomesPerDataCentre)...)
		}
	}
	return homes
}

func firstN(ids []string, n int) []string {
	return ids[:min(n, len(ids))]
}
