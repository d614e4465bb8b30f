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

// The answer of a booking went to regions that a rule forbade which had come after the
// booking ran.
func TestKeptAnswersAreNotSentWhereANewerRuleForbidsIt(t *testing.T) {
	s := vmstate.New(membership.Member{ID: "vm-1", Region: "kolkata", DataCentre: "d"}, time.Second)
	restrict := func(regions ...string) {
		s.Catalogue.Update(func(c *catalogue.Catalogue) *catalogue.Catalogue {
			next, err := c.With(catalogue.Change{PutResidency: &catalogue.Residency{Name: "rule", Regions: regions}})
			if err != nil {
				t.Fatal(err)
			}
			return next
		})
	}
	restrict("kolkata", "siliguri")
	booker := &Booker{VMState: s, Answers: &Answers{VMState: s}}
	booker.setAnswer(Call{Organisation: "puja"}, &state.Finish{ClaimId: "1"}, exchange.Answer{Status: 201, Body: []byte("secret-lantern")})
	for _, step := range []struct {
		regions []string
		found   bool
	}{{[]string{"kolkata", "siliguri"}, true}, {[]string{"kolkata"}, false}, {[]string{"kolkata", "siliguri", "durgapur"}, true}} {
		restrict(step.regions...)
		if _, found := booker.Answers.Read("1", "siliguri"); found != step.found {
			t.Errorf("rule %v: the answer is given to siliguri: %v", step.regions, found)
		}
		if _, found := booker.Answers.Read("1", "durgapur"); found {
			t.Errorf("rule %v: the answer is given to durgapur, where it might not go when the booking ran", step.regions)
		}
	}
}
