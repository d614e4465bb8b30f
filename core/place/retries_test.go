package place

import (
	"fmt"
	"testing"
	"time"

	"kingcuprill/core/instance"
)

// The budgets of all coordinators and VMs add up to no more than the slack, and where
// the slack allows it each VM has one retry of its own.
func TestRetryBudgetsAddUp(t *testing.T) {
	const slack, targets = 500, 40
	for _, vms := range []int{2, 27, 98, 290, 1000} {
		all := placers(vms, targets, nil)
		r := Request{Service: "llm", Memory: 1000, Now: start}
		sum := 0.0
		for _, p := range all {
			p.Retries = Retries{Ratio: 0.2, Slack: slack, VMs: vms}
			own := p.OwnRetries(r)
			if own.Slack < 1 && vms < slack*maxOwnSlack {
				t.Errorf("%d VMs: each has %.2f retries of its own", vms, own.Slack)
			}
			sum += own.Slack
			for p.budget(r.Service).Retry() {
				sum++
			}
		}
		if sum > slack+1e-6 {
			t.Errorf("%d VMs: %.0f retries, want %d at most", vms, sum, slack)
		}
	}
}

// A hundred VMs see one error each at the same time, while most of the budget of all is
// left. The coordinators must grant nearly all retries.
func TestRetriesArePooled(t *testing.T) {
	const vms, retries = 100, 100
	all := placers(vms, 20, func(r *instance.Registration) { r.Slots = 64 })
	byID := map[string]*Placer{}
	for _, p := range all {
		p.Retries = Retries{Ratio: 0.2, Slack: 2 * retries, VMs: vms}
		byID[p.Self] = p
	}
	denied := 0
	for i := range retries {
		r := Request{
			Service: "llm", Sticky: true, Memory: 1_000_000, Now: start, Deadline: start.Add(time.Minute), Retry: true,
			Demand: Demand{Prompt: 100, Parts: []Part{{fmt.Sprint("p", i), 50}, {fmt.Sprint("own", i), 50}}},
		}
		if pick(all[0], byID, r, true) == nil {
			denied++
		}
	}
	if denied > retries/10 {
		t.Errorf("%d of %d retries of one VM are denied, while no other has used any", denied, retries)
	}
}
