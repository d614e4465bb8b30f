package book

import (
	"context"
	"sync"

	"kingcuprill/core/booking"
	"kingcuprill/core/exchange"
	"kingcuprill/core/fault"
	"kingcuprill/core/residency"
	"kingcuprill/core/vmstate"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/vm"
)

// maxKept is the number of answers that a VM keeps; older ones are dropped.
const maxKept = 4096

// WithheldAnswer is an answer that residency rules bind to some regions.
type WithheldAnswer struct {
	ContentType  string
	Body         []byte
	Organisation string
	Route        string
	Permitted    residency.Permitted // when the booking ran
}

// Answers holds, in memory, the answers of bookings that ran on this VM and whose
// residency rules keep them out of the control log. They are lost when the VM
// restarts; a resend then gets the error that the booking ran once. It is safe for
// concurrent use.
type Answers struct {
	VMState *vmstate.State
	Peers   *peer.Peers

	mu       sync.Mutex
	kept     map[string]WithheldAnswer // by claim id
	claimIDs []string                  // oldest first
}

// Keep stores an answer and drops the oldest one beyond maxKept.
func (a *Answers) Keep(claimID string, answer WithheldAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.kept == nil {
		a.kept = map[string]WithheldAnswer{}
	}
	a.kept[claimID] = answer
	a.claimIDs = append(a.claimIDs, claimID)
	if len(a.claimIDs) > maxKept {
		delete(a.kept, a.claimIDs[0])
		a.claimIDs = a.claimIDs[1:]
	}
}

// Read returns an answer for a VM of a region. found is false if the answer isn't
// held or may not be sent to the region, by the rules when the booking ran or the newest ones.
func (a *Answers) Read(claimID, region string) (answer WithheldAnswer, found bool) {
	a.mu.Lock()
	answer, found = a.kept[claimID]
	a.mu.Unlock()
	if !found {
		return answer, false
	}
	newest := residency.Of(a.VMState.Catalogue.Read(), answer.Organisation, answer.Route)
	return answer, answer.Permitted.And(newest).Allows(region)
}

// Fetch returns the answer of a booking from the VM that ran it. Its error has
// the code fault.AnswerLost if the VM is unknown, can't be reached, or doesn't
// give the answer.
func (a *Answers) Fetch(row booking.Booking) (answer exchange.Answer, err error) {
	if row.Owner == a.VMState.Self {
		if kept, found := a.Read(row.ClaimID, a.VMState.Region); found {
			return replayedAnswer(row, kept.ContentType, kept.Body), nil
		}
		return answer, answerLost(row)
	}
	owner, known := a.VMState.Members.View.Read().Members[row.Owner]
	if !known {
		return answer, answerLost(row)
	}
	ctx, cancel := a.Peers.Bounded(context.Background())
	defer cancel()
	fetched, err := a.Peers.At(owner.PeerAddress).FetchAnswer(ctx, &vm.FetchAnswerRequest{ClaimId: row.ClaimID, Region: a.VMState.Region})
	if err != nil || !fetched.GetFound() {
		return answer, answerLost(row)
	}
	return replayedAnswer(row, fetched.GetContentType(), fetched.GetBody()), nil
}

func answerLost(row booking.Booking) error {
	return &exchange.Failure{Final: true, Err: fault.New(fault.AnswerLost,
		"the booking ran once and was answered with status %d; its answer was kept on VM %s only, for its residency, and can't be fetched from there", row.Status, row.Owner)}
}
