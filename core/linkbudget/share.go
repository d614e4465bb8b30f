package linkbudget

import (
	"cmp"
	"slices"
	"sync/atomic"

	"kingcuprill/core/backlog"
)

const (
	// evenShare is the part of the average share of an organisation's admitted work that every
	// rank gets, so that no rank is served less than a quarter as often as all requests.
	evenShare = 0.35
	// forgetWindows is for how many windows an organisation is kept without requests.
	forgetWindows = 50
)

// organisation is the work that one organisation offers to a VM.
type organisation struct {
	name    string
	weight  atomic.Int64
	offered [backlog.Ranks]atomic.Int64
	shares  atomic.Pointer[[backlog.Ranks]float64] // of the requests of each rank that are admitted

	// The rest is used by Update only.
	demand [backlog.Ranks]float64 // bytes per second
	total  float64                // of all ranks
	quiet  int                    // windows without requests
}

func (b *Budget) organisation(name string) *organisation {
	if found, known := b.organisations.Load(name); known {
		return found.(*organisation)
	}
	o := &organisation{name: name}
	all := [backlog.Ranks]float64{}
	for rank := range all {
		all[rank] = 1
	}
	o.shares.Store(&all)
	found, _ := b.organisations.LoadOrStore(name, o)
	return found.(*organisation)
}

func (o *organisation) offer(rank int, cost int64, weight float64) {
	o.offered[rank].Add(cost)
	o.weight.Store(int64(weight))
}

// active returns the organisations that have offered work lately, and forgets the others.
func (b *Budget) active() (all []*organisation) {
	b.organisations.Range(func(_, found any) bool {
		o := found.(*organisation)
		if o.quiet >= forgetWindows {
			b.organisations.Delete(o.name)
			return true
		}
		all = append(all, o)
		return true
	})
	return all
}

// measure updates the average demand after a time in seconds, and returns it.
func (o *organisation) measure(elapsed float64) float64 {
	o.total = 0
	o.quiet++
	for rank := range o.demand {
		offered := o.offered[rank].Swap(0)
		if offered > 0 {
			o.quiet = 0
		}
		average(&o.demand[rank], float64(offered)/elapsed, elapsed, demandTime)
		o.total += o.demand[rank]
	}
	return o.total
}

// distribute divides the headroom among the organisations: a max-min share by their weights. What
// one doesn't use of its share goes to the others.
func (b *Budget) distribute(headroom float64) {
	all := b.active()
	weights := weightsOf(all)
	need := func(o *organisation) float64 { return o.total / weights[o] }
	slices.SortFunc(all, func(x, y *organisation) int { return cmp.Compare(need(x), need(y)) })
	left := 0.0
	for _, o := range all {
		left += weights[o]
	}
	for _, o := range all {
		given := min(o.total, headroom*weights[o]/left)
		headroom -= given
		left -= weights[o]
		next := shares(o.demand, o.total, given)
		o.shares.Store(&next)
	}
}

// weightsOf returns the weights of organisations; one without a weight has the average.
func weightsOf(all []*organisation) map[*organisation]float64 {
	weights := map[*organisation]float64{}
	sum, known := 0.0, 0.0
	for _, o := range all {
		if w := float64(o.weight.Load()); w > 0 {
			weights[o] = w
			sum += w
			known++
		}
	}
	usual := 1.0
	if known > 0 {
		usual = sum / known
	}
	for _, o := range all {
		if weights[o] == 0 {
			weights[o] = usual
		}
	}
	return weights
}

// shares returns the part of the requests of each rank that is admitted, of a demand of which
// so much is granted. Each rank gets a part
// of the average; the rest goes to the most urgent ranks first.
func shares(byRank [backlog.Ranks]float64, demand, granted float64) (share [backlog.Ranks]float64) {
	fits := 1.0
	if demand > granted {
		fits = granted / demand
	}
	even := evenShare * fits
	if fits == 1 {
		even = 1
	}
	rest := granted - even*demand
	for rank, offered := range byRank {
		share[rank] = even
		if offered > 0 {
			given := min(max(0, rest), (1-even)*offered)
			share[rank] += given / offered
			rest -= given
			continue
		}
		if rest > 0 {
			share[rank] = 1
		}
	}
	return share
}
