package book

import (
	"testing"
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/exchange"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/rpc/state"
)

// An answer that residency rules bind to regions must not go into the control log,
// whose replicas may be in any region. That also holds on a VM that knows no other
// VM yet, as right after its start.
func TestAnswerIsWithheldWithoutMembers(t *testing.T) {
	s := vmstate.New(membership.Member{ID: "vm-1", Region: "kolkata", DataCentre: "d"}, time.Second)
	c := catalogue.New()
	c.Residencies["west"] = catalogue.Residency{Name: "west", Organisation: "puja", Regions: []string{"kolkata"}}
	c.Index()
	s.Catalogue.Update(func(*catalogue.Catalogue) *catalogue.Catalogue { return c })
	booker := &Booker{VMState: s, Answers: &Answers{VMState: s}}
	answer := exchange.Answer{Status: 201, Body: []byte("secret-lantern")}
	for _, test := range []struct {
		organisation string
		withheld     bool
	}{{"puja", true}, {"clerks", false}} {
		finish := &state.Finish{ClaimId: "claim-of-" + test.organisation}
		booker.setAnswer(Call{Organisation: test.organisation}, finish, answer)
		if finish.GetWithheld() != test.withheld || (len(finish.GetBody()) == 0) != test.withheld {
			t.Errorf("%s: withheld %t with %d bytes in the log, want withheld %t", test.organisation, finish.GetWithheld(), len(finish.GetBody()), test.withheld)
		}
		if _, kept := booker.Answers.Read(finish.GetClaimId(), "kolkata"); kept != test.withheld {
			t.Errorf("%s: kept on this VM %t, want %t", test.organisation, kept, test.withheld)
		}
		if _, kept := booker.Answers.Read(finish.GetClaimId(), "siliguri"); kept {
			t.Errorf("%s: the answer is given to a VM outside its regions", test.organisation)
		}
	}
}
