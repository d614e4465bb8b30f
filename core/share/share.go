// Package share divides each organisation's limit among the VMs. The base
// shares of all VMs sum to at most one at any time, also while the VM set
// changes and some VMs have not seen the change.
package share

import (
	"slices"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/rendezvous"
)

// HomesPerDataCentre is the number of VMs of a data centre that hold the base
// share of an organisation.
const HomesPerDataCentre = 2

// Of returns the base share of a VM, from 0 to 1. While a change of the VM set
// is not settled, it is the lower of the shares before and after.
func Of(c *catalogue.Catalogue, vm, organisation string) float64 {
	before := shareIn(c, vm, organisation, catalogue.VMLeaving, catalogue.VMStopped)
	if !c.Unsettled() {
		return before
	}
	return min(before, shareIn(c, vm, organisation, catalogue.VMJoining))
}

// shareIn computes the share among the active VMs and those in other states.
func shareIn(c *catalogue.Catalogue, vm, organisation string, also ...catalogue.VMState) float64 {
	byDataCentre := map[string][]string{}
	total := 0
	own := ""
	for id, row := range c.VMs {
		if row.State != catalogue.VMActive && !slices.Contains(also, row.State) {
			continue
		}
		byDataCentre[row.DataCentre] = append(byDataCentre[row.DataCentre], id)
		total++
		if id == vm {
			own = row.DataCentre
		}
	}
	if own == "" {
		return 0
	}
	homes := first(rendezvous.Order(organisation, byDataCentre[own]), HomesPerDataCentre)
	for _, home := range homes {
		if home == vm {
			weight := float64(len(byDataCentre[own])) / float64(total)
			return weight / float64(len(homes))
		}
	}
	return 0
}

// Homes returns the VMs that hold a base share of an organisation, those of
// the given data centre first.
func Homes(c *catalogue.Catalogue, organisation, nearest string) []string {
	byDataCentre := map[string][]string{}
	for id, row := range c.VMs {
		if row.State == catalogue.VMActive {
			byDataCentre[row.DataCentre] = append(byDataCentre[row.DataCentre], id)
		}
	}
	homes := first(rendezvous.Order(organisation, byDataCentre[nearest]), HomesPerDataCentre)
	for _, dataCentre := range rendezvous.Order(organisation, catalogue.SortedNames(byDataCentre)) {
		if dataCentre != nearest {
			homes = append(homes, first(rendezvous.Order(organisation, byDataCentre[dataCentre]), HomesPerDataCentre)...)
		}
	}
	return homes
}

func first(ids []string, most int) []string {
	return ids[:min(most, len(ids))]
}
