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
	VMs   int     // entry VMs of all regions
}

const (
	// ownRetries is the part of the budget that is split evenly among the VMs, for
	// requests that are placed without a coordinator. The coordinators hold the rest.
	ownRetries = 0.25
	// maxOwnSlack is the largest part of the slack that is split among the VMs, where
	// they are so many that ownRetries of it is less than one retry for each.
	maxOwnSlack = 0.6
	// thousandths is the unit of retry.Budget.
	thousandths = 1000
)

// ownSlack returns the part of the slack that is split evenly among the VMs: one retry
// for each VM at least, as far as possible.
func (r Retries) ownSlack() float64 {
	one := float64(r.VMs) / max(1, r.Slack)
	return min(maxOwnSlack, max(ownRetries, one))
}

// SetRetryVMs sets how many entry VMs share the retry budgets.
func (p *Placer) SetRetryVMs(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Retries.VMs = count
}

// budget returns this VM's budget for retries of a service that it coordinates.
func (p *Placer) budget(service string) *retry.Budget {
	b, found := p.budgets[service]
	if !found {
		b = &retry.Budget{Ratio: int64((1 - ownRetries) * p.Retries.Ratio * thousandths)}
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
	slack := (1 - p.Retries.ownSlack()) * p.Retries.Slack
	// The smallest bound is one thousandth of a retry, as 0 stands for the default.
	b.SetLargest(max(1, int64(slack*thousandths*float64(own)/float64(max(1, all)))))
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

// OwnRetries returns the retry budget of a service that this VM has without
// coordinators.
func (p *Placer) OwnRetries(r Request) (own Retries) {
	coordinated := p.NeedsCoordination(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := float64(max(1, p.Retries.VMs))
	if !coordinated {
		return Retries{Ratio: p.Retries.Ratio, Slack: p.Retries.Slack / vms}
	}
	return Retries{Ratio: ownRetries * p.Retries.Ratio, Slack: p.Retries.ownSlack() * p.Retries.Slack / vms}
}
