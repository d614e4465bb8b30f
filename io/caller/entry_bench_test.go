package caller

import (
	"fmt"
	"testing"
	"time"

	"kingcuprill/core/access"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/membership"
	"kingcuprill/core/residency"
	"kingcuprill/core/route"
	"kingcuprill/core/target"
	"kingcuprill/core/vmstate"
)

const (
	benchOrganisations = 16000
	benchTargets       = 600
)

// fullVMState returns the state of an entry VM with the greatest intended number of
// organisations and targets.
func fullVMState() *vmstate.State {
	s := vmstate.New(membership.Member{ID: "vm-0", Region: "r", DataCentre: "d"}, time.Hour)
	c := catalogue.New()
	for i := range benchOrganisations {
		name := fmt.Sprint("organisation-", i)
		c.Organisations[name] = catalogue.Organisation{Name: name, RatePerSecond: 1e9, Burst: 1e12, Weight: 1}
		c.Keys[name] = catalogue.Key{ID: name, Organisation: name, SecretHash: access.HashSecret(name)}
		if i%8 == 0 {
			c.Residencies[name] = catalogue.Residency{Name: name, Organisation: name, Regions: []string{"r"}}
		}
	}
	c.Routes["plans"] = catalogue.Route{Name: "plans", Kind: catalogue.ModelRoute, Service: "planner", Models: []string{"lantern"}, Repeatable: true, Deadline: time.Minute}
	c.VMs["vm-0"] = catalogue.VM{ID: "vm-0", Region: "r", DataCentre: "d", State: catalogue.VMActive}
	c.Revision = 1
	c.Index()
	s.Catalogue.Update(func(*catalogue.Catalogue) *catalogue.Catalogue { return c })
	s.Limiter.Refresh()
	for i := range benchTargets {
		s.Targets.Announce(target.Announcement{
			ID: fmt.Sprint("t", i), BootID: "b", Service: "planner", Kind: target.Engine, Models: []string{"lantern"}, Capacity: 8,
		}, time.Now())
	}
	return s
}

// BenchmarkEntryPath measures the checks of one request up to the choice of its
// target: key, residency, rate limit and target.
func BenchmarkEntryPath(b *testing.B) {
	full := fullVMState()
	time.Sleep(4 * time.Second) // until the rate limits have tokens
	policy := route.Predicted{Weights: route.Weights{ServiceTime: time.Second}}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			key, err := access.Authenticate(full, fmt.Sprint("organisation-", i%benchOrganisations))
			if err != nil {
				b.Fatal(err)
			}
			found, _ := full.Catalogue.Read().RouteByModel("lantern")
			request := route.Request{Service: found.Service, Model: "lantern", Permitted: residency.Of(full.Catalogue.Read(), key.Organisation, found.Name)}
			account, err := full.Limiter.Account(key.Organisation)
			if err != nil || account == nil {
				b.Fatal(err)
			}
			rows := route.Eligible(full.Targets.View.Read(), request, time.Now())
			if _, _, chosen := route.Choose(policy, request, rows, time.Now()); !chosen {
				b.Fatal("no target was chosen")
			}
		}
	})
}
