package withdraw

import (
	"strings"
	"testing"

	"kingcuprill/core/catalogue"
	"kingcuprill/core/control"
)

// A key is withdrawn and goes with its organisation; later a key with the same id is
// granted and withdrawn. The second withdrawal must not be taken for the first one.
func TestWithdrawalOfAKeyThatIsGrantedAgainIsCommitted(t *testing.T) {
	s := control.New()
	apply := func(id string, change catalogue.Change) {
		if result := s.Apply(control.Command{RequestID: id, AnyRevision: true, Change: &change}); result.Err != nil {
			t.Fatal(result.Err)
		}
	}
	withdraw := func() { apply(requestID(s.Catalogue, "k"), catalogue.Change{WithdrawKey: "k"}) }
	for _, digit := range []string{"a", "b"} {
		key := catalogue.Key{ID: "k", Organisation: "o", SecretHash: strings.Repeat(digit, 64)}
		apply("", catalogue.Change{PutOrganisation: &catalogue.Organisation{Name: "o", RatePerSecond: 1, Burst: 1, Weight: 1}})
		apply("", catalogue.Change{GrantKey: &key})
		withdraw()
		revision := s.Catalogue.Revision
		withdraw()
		if !s.Catalogue.Keys["k"].Withdrawn || s.Catalogue.Revision != revision {
			t.Errorf("secret %s: withdrawn %v, by two commands at revisions %d and %d", digit, s.Catalogue.Keys["k"].Withdrawn, revision, s.Catalogue.Revision)
		}
		apply("", catalogue.Change{RemoveOrganisation: "o"})
	}
}
