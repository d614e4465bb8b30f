package entry

import (
	"fmt"
	"testing"
)

// A hundred VMs forward requests to a region of a hundred: each to one partner, which
// stays when others come and go, and no partner has many.
func TestPartnersAreStableAndSpread(t *testing.T) {
	const count, most = 100, 8
	var vms []VM
	for i := range count {
		vms = append(vms, VM{ID: fmt.Sprint("there-", i), Region: "there", Ready: true}, VM{ID: fmt.Sprint("here-", i), Region: "here", Ready: true})
	}
	none := func(VM) bool { return false }
	senders := map[string]int{}
	for i := range count {
		self := fmt.Sprint("here-", i)
		partner, found := Partner(self, vms, "there", none)
		if !found || partner.Region != "there" {
			t.Fatalf("%s has the partner %v", self, partner)
		}
		senders[partner.ID]++
		other, _ := Partner(self, vms, "there", func(v VM) bool { return v.ID == partner.ID })
		if other.ID == partner.ID {
			t.Errorf("%s keeps a partner that is excluded", self)
		}
		again, _ := Partner(self, vms, "there", func(v VM) bool { return v.ID == other.ID })
		if again.ID != partner.ID {
			t.Errorf("%s changes its partner when another VM leaves", self)
		}
	}
	for id, count := range senders {
		if count > most {
			t.Errorf("%s is the partner of %d VMs", id, count)
		}
	}
}

func TestPartnerMustBeReady(t *testing.T) {
	if partner, found := Partner("a", []VM{{ID: "b", Region: "r"}}, "r", func(VM) bool { return false }); found {
		t.Errorf("partner %v, though it isn't ready", partner)
	}
}
