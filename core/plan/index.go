package plan

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Index looks up the routes, services and organisations of a plan. It is
// immutable and safe for concurrent use.
type Index struct {
	Plan     Plan
	routes   map[routeKey]Route
	services map[string]Service
	byKey    map[string]Organisation
	byName   map[string]Organisation
}

// NewIndex returns the index of a plan.
func NewIndex(p Plan) *Index {
	x := &Index{Plan: p, routes: map[routeKey]Route{}, services: map[string]Service{}, byKey: map[string]Organisation{}, byName: map[string]Organisation{}}
	for _, r := range p.Routes {
		x.routes[routeKey{r.Host, r.Prefix}] = r
	}
	for _, s := range p.Services {
		x.services[s.Name] = s
	}
	for _, o := range p.Organisations {
		x.byName[o.Name] = o
		for _, key := range o.Keys {
			x.byKey[key] = o
		}
	}
	return x
}

// routeKey identifies a route by the requests that it matches.
type routeKey struct {
	host, prefix string // the prefix ends with a slash
}

// Match returns the route of a host with the longest prefix that matches a path.
func (x *Index) Match(host, path string) (route Route, found bool) {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, found = x.routes[routeKey{host, path[:end+1]}]; found {
			return route, true
		}
	}
	return Route{}, false
}

// NeedsKey reports whether requests of a route must carry a key. Without
// organisations in the plan, no route needs one.
func (x *Index) NeedsKey(r Route) bool {
	return len(x.Plan.Organisations) > 0 && !r.Open
}

// ByKey returns the organisation that holds a key.
func (x *Index) ByKey(key string) (organisation Organisation, found bool) {
	organisation, found = x.byKey[key]
	return organisation, found
}

// Organisation returns an organisation by its name.
func (x *Index) Organisation(name string) (organisation Organisation, found bool) {
	organisation, found = x.byName[name]
	return organisation, found
}

// Service returns a service by its name.
func (x *Index) Service(name string) (service Service, found bool) {
	service, found = x.services[name]
	return service, found
}

// Choose returns the service that a request goes to. It depends only on the
// request id and the splits, so that all VMs choose the same service.
func (r Route) Choose(requestID string) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	const resolution = 1 << 20
	point := float64(xxhash.Sum64String(requestID)%resolution) / resolution * total
	for _, s := range r.Splits {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Regions returns the regions in which a request may run: the intersection of
// the homes of its route and of its organisation, where no homes mean all
// regions. If all is true, it may run anywhere.
func Regions(route, organisation []string) (regions []string, all bool) {
	switch {
	case len(route) == 0 && len(organisation) == 0:
		return nil, true
	case len(route) == 0:
		return organisation, false
	case len(organisation) == 0:
		return route, false
	}
	for _, region := range route {
		if slices.Contains(organisation, region) {
			regions = append(regions, region)
		}
	}
	return regions, false
}

// HomeCount returns the number of routes and organisations that list a region
// among their homes.
func (x *Index) HomeCount(region string) (count int) {
	for _, r := range x.Plan.Routes {
		if slices.Contains(r.Homes, region) {
			count++
		}
	}
	for _, o := range x.Plan.Organisations {
		if slices.Contains(o.Homes, region) {
			count++
		}
	}
	return count
}
