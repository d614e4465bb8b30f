// Package borrow requests and grants loans of rate and burst between the VMs'
// accounts of an organisation, so that the limit is available where the requests
// are. Loans last a few seconds; package limit keeps the sum of all accounts
// within the organisation's limit.
package borrow

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"gopkg.in/tomb.v2"

	"kingcuprill/core/limit"
	"kingcuprill/core/membership"
	"kingcuprill/core/share"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

const (
	roundInterval = 100 * time.Millisecond // between two rounds of requests for one organisation
	maxLenders    = 8                      // per round
)

// Borrower requests loans from other VMs when requests wait on this VM, and grants
// loans to other VMs.
type Borrower struct {
	VMState   *vmstate.State
	Peers     *peer.Peers
	Log       *slog.Logger
	Shortages chan string // organisations with requests that wait for tokens
}

// NewBorrower returns a borrower.
func NewBorrower(s *vmstate.State, peers *peer.Peers, log *slog.Logger) *Borrower {
	return &Borrower{VMState: s, Peers: peers, Log: log, Shortages: make(chan string, 256)}
}

// RecordShortage records that a request of an organisation waits for tokens. It
// never blocks; if the queue is full, the record is dropped.
func (b *Borrower) RecordShortage(organisation string) {
	select {
	case b.Shortages <- organisation:
	default:
	}
}

// Run borrows for the organisations that are short until the tomb dies, for each of
// them in a goroutine of its own.
func (b *Borrower) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	serving := map[string]bool{}
	done := make(chan string)
	for {
		select {
		case <-t.Dying():
			return nil
		case organisation := <-b.Shortages:
			if serving[organisation] {
				continue
			}
			serving[organisation] = true
			t.Go(func() error {
				b.serve(ctx, organisation)
				select {
				case done <- organisation:
				case <-t.Dying():
				}
				return nil
			})
		case organisation := <-done:
			delete(serving, organisation)
		}
	}
}

// serve requests loans in rounds until no request of the organisation waits.
func (b *Borrower) serve(ctx context.Context, organisation string) {
	account, err := b.VMState.Limiter.Account(organisation)
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		want, short := account.Shortage(time.Now())
		if !short {
			return
		}
		b.requestLoans(ctx, organisation, account, want)
		select {
		case <-time.After(roundInterval):
		case <-ctx.Done():
		}
	}
}

func (b *Borrower) requestLoans(ctx context.Context, organisation string, account *limit.Account, want limit.Amount) {
	for _, lender := range b.lenders(organisation) {
		if want.RatePerSecond <= 0 && want.Burst <= 0 {
			return
		}
		loan := b.requestLoan(ctx, lender, organisation, account, want)
		want.RatePerSecond = max(0, want.RatePerSecond-loan.RatePerSecond)
		want.Burst = max(0, want.Burst-loan.Burst)
	}
}

// lenders returns the live VMs that hold a share of the organisation's limit, the
// nearest first.
func (b *Borrower) lenders(organisation string) (lenders []membership.Member) {
	homes := share.Homes(b.VMState.Catalogue.Read(), organisation, b.VMState.DataCentre)
	members := b.VMState.Members.View.Read().Members
	for _, id := range homes {
		if m, known := members[id]; known && id != b.VMState.Self && m.State == membership.Alive {
			lenders = append(lenders, m)
		}
	}
	slices.SortStableFunc(lenders, func(x, y membership.Member) int { return b.distance(x) - b.distance(y) })
	return lenders[:min(maxLenders, len(lenders))]
}

func (b *Borrower) distance(m membership.Member) int {
	switch {
	case m.DataCentre == b.VMState.DataCentre:
		return 0
	case m.Region == b.VMState.Region:
		return 1
	}
	return 2
}

func (b *Borrower) requestLoan(ctx context.Context, lender membership.Member, organisation string, account *limit.Account, want limit.Amount) (loan limit.Loan) {
	bounded, cancel := b.Peers.Bounded(ctx)
	defer cancel()
	requestedAt := time.Now()
	answer, err := b.Peers.At(lender.PeerAddress).Borrow(bounded, &vm.BorrowRequest{
		Organisation: organisation, Borrower: b.VMState.Self, RatePerSecond: want.RatePerSecond, Burst: want.Burst,
	})
	if err != nil {
		b.Log.Debug("request for a loan has failed; the next lender is asked", "lender", lender.ID, "organisation", organisation, "error", err)
		return loan
	}
	loan.RatePerSecond, loan.Burst, loan.Level = answer.GetRatePerSecond(), answer.GetBurst(), answer.GetLevel()
	if loan.Amount != (limit.Amount{}) {
		account.Borrow(loan, requestedAt, time.Now())
	}
	return loan
}

// Lend grants another VM a loan, which is empty if this VM has nothing to lend or
// doesn't know the organisation.
func (b *Borrower) Lend(request *vm.BorrowRequest) *vm.BorrowResponse {
	account, err := b.VMState.Limiter.Account(request.GetOrganisation())
	if err != nil {
		return &vm.BorrowResponse{}
	}
	loan := account.Lend(limit.Amount{RatePerSecond: request.GetRatePerSecond(), Burst: request.GetBurst()}, time.Now())
	return &vm.BorrowResponse{RatePerSecond: loan.RatePerSecond, Burst: loan.Burst, Level: loan.Level}
}
