// Package report collects the burn rates, at which error budgets are used up, from
// all VMs and merges them.
package report

import (
	"context"
	"sync"
	"time"

	"kingcuprill/core/burn"
	"kingcuprill/core/membership"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/operator"
)

// Reporter merges the burn rates of the VMs.
type Reporter struct {
	VMState *vmstate.State
	Peers   *peer.Peers
}

// Own returns the burn rates of this VM.
func (r *Reporter) Own() []*operator.BurnRow {
	return fromRows(r.VMState.Burn.Rows())
}

// All returns the merged burn rates of the VMs that answer, and lists the VMs that
// don't.
func (r *Reporter) All(ctx context.Context) *operator.BurnResponse {
	rows := r.VMState.Burn.Rows()
	answer := &operator.BurnResponse{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, m := range r.VMState.Members.All() {
		if m.ID == r.VMState.Self {
			continue
		}
		group.Go(func() {
			fetched, err := r.fetch(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				answer.UnreachedVms = append(answer.UnreachedVms, m.ID+" ("+m.Region+")")
				return
			}
			rows = append(rows, fetched...)
		})
	}
	group.Wait()
	answer.Rows = fromRows(burn.Merge(rows))
	return answer
}

func (r *Reporter) fetch(ctx context.Context, m membership.Member) (rows []burn.Row, err error) {
	bounded, cancel := r.Peers.Bounded(ctx)
	defer cancel()
	answer, err := r.Peers.At(m.PeerAddress).Burn(bounded, &operator.BurnRequest{Local: true})
	if err != nil {
		return nil, err
	}
	for _, row := range answer.GetRows() {
		rows = append(rows, burn.Row{
			Organisation: row.GetOrganisation(), Route: row.GetRoute(), Region: row.GetRegion(),
			Window: time.Duration(row.GetWindowNanoseconds()), Total: row.GetTotal(), Bad: row.GetBad(),
		})
	}
	return rows, nil
}

func fromRows(rows []burn.Row) (messages []*operator.BurnRow) {
	for _, row := range rows {
		messages = append(messages, &operator.BurnRow{
			Organisation: row.Organisation, Route: row.Route, Region: row.Region, WindowNanoseconds: int64(row.Window),
			Total: row.Total, Bad: row.Bad, Burn: row.Rate(),
		})
	}
	return messages
}
