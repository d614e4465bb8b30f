package front

import (
	"errors"
	"net"
	"slices"

	"kingcuprill/core/plan"
)

// errNotAtHome is the error of a try that was not sent, as a newer plan has come that forbids
// its region.
var errNotAtHome = errors.New("the newest configuration does not allow the request in this region")

// checkHome returns errNotAtHome unless the request may be sent to a region.
func (x *exchange) checkHome(region string) error {
	if !x.atHome(region) {
		return errNotAtHome
	}
	return nil
}

// checkSend is checkHome right before the request is sent, which takes bytes of the link.
func (x *exchange) checkSend(region string) error {
	if err := x.checkHome(region); err != nil {
		return err
	}
	x.use.countSent()
	return nil
}

// atHome reports whether the request may run in a region and its body may be sent there: by
// the plan at its arrival, and by the newest one that this VM has.
func (x *exchange) atHome(region string) bool {
	if !allows(x.route, x.organisation, region) {
		return false
	}
	newest := x.server.State.Read()
	if newest == x.state {
		return true
	}
	route, _ := newest.Plan.Match(hostName(x.caller.Host), x.caller.URL.Path)
	organisation, _ := newest.Plan.Organisation(x.organisation.Name)
	return allows(route, organisation, region)
}

// allows reports whether requests of an organisation on a route may run in a region.
func allows(route plan.Route, organisation plan.Organisation, region string) bool {
	homes, everywhere := plan.Regions(route.Homes, organisation.Homes)
	return everywhere || slices.Contains(homes, region)
}

// hostName returns the host of a Host header, without its port.
func hostName(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}
