package book

import (
	"context"
	"sync"

	"kingcuprill/core/board"
	"kingcuprill/core/booking"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/residency"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

// maxKept is the number of answers that a VM keeps.
const maxKept = 4096

// Kept is an answer that may not leave its regions.
type Kept struct {
	ContentType string
	Body        []byte
	Permitted   residency.Permitted
}

// Answers keeps the answers of bookings that the control log may not hold,
// in the memory of the VM that ran them. After its restart they are gone, and
// a resend learns that the booking ran once.
type Answers struct {
	Board *board.Board
	Peers *peer.Peers

	mu    sync.Mutex
	kept  map[string]Kept // by claim id
	order []string
}

// Keep stores an answer and forgets the oldest beyond maxKept.
func (a *Answers) Keep(claimID string, answer Kept) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.kept == nil {
		a.kept = map[string]Kept{}
	}
	a.kept[claimID] = answer
	a.order = append(a.order, claimID)
	if len(a.order) > maxKept {
		delete(a.kept, a.order[0])
		a.order = a.order[1:]
	}
}

// Read returns an answer for a VM of a region, if it may go there.
func (a *Answers) Read(claimID, region string) (answer Kept, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	answer, found = a.kept[claimID]
	return answer, found && answer.Permitted.Allows(region)
}

// Fetch returns the answer of a booking from the VM that ran it.
func (a *Answers) Fetch(row booking.Booking) (answer exchange.Answer, err error) {
	if row.Owner == a.Board.Self {
		if kept, found := a.Read(row.ClaimID, a.Board.Region); found {
			return replayed(row, kept.ContentType, kept.Body), nil
		}
		return answer, lost(row)
	}
	owner, known := a.Board.Members.View.Read().Members[row.Owner]
	if !known {
		return answer, lost(row)
	}
	ctx, cancel := a.Peers.Bounded(context.Background())
	defer cancel()
	fetched, err := a.Peers.At(owner.PeerAddress).FetchAnswer(ctx, &vm.FetchAnswerRequest{ClaimId: row.ClaimID, Region: a.Board.Region})
	if err != nil || !fetched.GetFound() {
		return answer, lost(row)
	}
	return replayed(row, fetched.GetContentType(), fetched.GetBody()), nil
}

func lost(row booking.Booking) error {
	return &exchange.Failure{Final: true, Err: fault.New(fault.AnswerLost,
		"the booking ran once and was answered with status %d; its answer was kept on VM %s only, for its residency, and can't be had from there", row.Status, row.Owner)}
}
