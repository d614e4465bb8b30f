package place

import "kingcuprill/core/retry"

// Retries bounds how often requests are sent to a second target.
//
// With hundreds of VMs, an equal share of the budget lets a VM retry once or twice,
// although most VMs need none at that moment: while some targets fail a share of their
// requests, most retries would be denied and most of the budget left. Therefore the
// coordinators hold the larger part, in proportion to their targets, and see the
// requests and retries of all VMs.
type Retries struct {
	Ratio float64 // retries for each request
	Slack float64 // retries beyond Ratio, of all VMs together
}

const (
	// coordinatorRetries is the part of the budget that coordinators hold. The rest is
	// split evenly among the VMs, for requests that are placed without a coordinator.
	coordinatorRetries = 0.75
	// thousandths is the unit of retry.Budget.
	thousandths = 1000
)

// budget returns this VM's budget for retries of a service that it coordinates.
func (p *Placer) budget(service string) *retry.Budget {
	b, found := p.budgets[service]
	if !found {
		b = &retry.Budget{Ratio: int64(coordinatorRetries * p.Retries.Ratio * thousandths)}
		p.budgets[service] = b
	}
	own, all := 0, 0
	for _, t := range p.byService[service] {
		all++
		if t.coordinator == p.Self {
			own++
		}
	}
	for _, remote := range p.remote {
		if remote.Service == service {
			all += remote.Targets
		}
	}
	b.SetLargest(int64(coordinatorRetries * p.Retries.Slack * thousandths * float64(own) / float64(max(1, all))))
	return b
}

// mayRetry reports whether a request may be sent now. Requests that aren't retries
// may, and add to the budget.
func (p *Placer) mayRetry(r Request) bool {
	if !r.Coordinated {
		return true
	}
	if !r.Retry {
		if r.Home == r.Preferred {
			p.budget(r.Service).Request()
		}
		return true
	}
	return p.budget(r.Service).Available()
}

// OwnRetries returns the part of the retry budget of a service that is split evenly
// among the VMs.
func (p *Placer) OwnRetries(r Request) (part Retries) {
	if !p.NeedsCoordination(r) {
		return p.Retries
	}
	return Retries{Ratio: (1 - coordinatorRetries) * p.Retries.Ratio, Slack: (1 - coordinatorRetries) * p.Retries.Slack}
}
