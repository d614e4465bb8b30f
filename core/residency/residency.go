// Package residency evaluates the data residency rules: in which regions a
// request may be served. Several matching rules are combined by intersection, so
// a rule can only restrict further.
package residency

import (
	"slices"

	"kingcuprill/core/catalogue"
)

// Permitted is the set of regions that all matching rules allow. The zero value
// allows no region.
type Permitted struct {
	all     bool
	regions []string
}

// Of returns the regions in which requests of an organisation on a route may be
// served. An empty organisation matches only the rules for all organisations.
// With no matching rule every region is permitted.
func Of(c *catalogue.Catalogue, organisation, route string) Permitted {
	p := Permitted{all: true}.restrict(c.RulesOf(""), route)
	if organisation == "" {
		return p
	}
	return p.restrict(c.RulesOf(organisation), route)
}

func (p Permitted) restrict(rules []catalogue.Residency, route string) Permitted {
	for _, rule := range rules {
		if rule.Route == "" || rule.Route == route {
			p = p.intersect(rule.Regions)
		}
	}
	return p
}

// Everywhere reports whether no rule restricts the regions.
func (p Permitted) Everywhere() bool {
	return p.all
}

// Nowhere reports whether no region is permitted.
func (p Permitted) Nowhere() bool {
	return !p.all && len(p.regions) == 0
}

// Allows reports whether a region is permitted.
func (p Permitted) Allows(region string) bool {
	return p.all || slices.Contains(p.regions, region)
}

// And returns the regions that both allow.
func (p Permitted) And(other Permitted) Permitted {
	if other.all {
		return p
	}
	return p.intersect(other.regions)
}

func (p Permitted) intersect(regions []string) Permitted {
	if p.all {
		return Permitted{regions: regions}
	}
	kept := []string{}
	for _, region := range p.regions {
		if slices.Contains(regions, region) {
			kept = append(kept, region)
		}
	}
	return Permitted{regions: kept}
}
