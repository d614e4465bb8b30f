package entry

import (
	"fmt"
	"slices"
	"testing"
)

// VMs with links of 7.5 and 25 Mbit/s got the same number of callers, so that the slow ones
// were full while the others were not. VMs that are alike, or of an earlier build, count once.
func TestFastLinksAreNamedMoreOften(t *testing.T) {
	const slow, fast = 937_500, 3_125_000
	tests := map[string]struct {
		rates []float64
		want  []int
	}{
		"alike":           {[]float64{slow, slow, slow}, []int{1, 1, 1}},
		"uneven":          {[]float64{slow, fast, slow}, []int{1, 3, 1}},
		"one isn't known": {[]float64{slow, 0, fast}, []int{1, 1, 3}},
		"none is known":   {[]float64{0, 0}, []int{1, 1}},
		"far apart":       {[]float64{slow, 1000 * slow}, []int{1, maxWeight}},
		"nearly alike":    {[]float64{slow, 1.4 * slow}, []int{1, 1}},
	}
	for name, test := range tests {
		var vms []VM
		for i, rate := range test.rates {
			vms = append(vms, VM{ID: fmt.Sprint(i), CallerAddress: fmt.Sprint(i), LinkRate: rate})
		}
		addresses := addressesOf(vms)
		for i, want := range test.want {
			if got := len(slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a != fmt.Sprint(i) })); got != want {
				t.Errorf("%s: VM %d is named %d times, want %d", name, i, got, want)
			}
		}
	}
}

// An answer must not have more addresses than callers take.
func TestAnswersStayWithinTheirBound(t *testing.T) {
	var vms []VM
	for i := range MaxAddresses - 1 {
		vms = append(vms, VM{ID: fmt.Sprint(i), CallerAddress: fmt.Sprint(i), LinkRate: float64(1 + i%4)})
	}
	if got := len(addressesOf(vms)); got != len(vms) {
		t.Errorf("%d addresses for %d VMs", got, len(vms))
	}
}
