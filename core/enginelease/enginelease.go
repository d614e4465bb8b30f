// Package enginelease grants the lease under which one VM at a time may send
// commands to engines. The lease is part of the replicated state. Each new holder
// gets a higher fencing number, so that commands of a former holder can be
// rejected.
//
// Times are on the ledger's clock (see booking.Ledger), which counts only the
// time in which the control log had a leader.
package enginelease

import (
	"time"

	"kingcuprill/core/fault"
)

// Lease is the right to send commands to engines.
type Lease struct {
	Holder  string
	Fencing uint64    // grows by 1 with each new holder
	Expires time.Time // on the ledger's clock
}

// Request asks for the lease or renews it.
type Request struct {
	Holder   string
	Now      time.Time // on the ledger's clock
	Duration time.Duration
}

// Grant returns the lease after a request. A holder renews an unexpired lease
// under the same fencing number. An expired lease goes to any VM, also to its
// former holder, under the next number. While another VM holds the lease, Grant
// returns it unchanged with fault.Conflict.
func (l Lease) Grant(request Request) (granted Lease, err error) {
	if l.Holder == request.Holder && request.Now.Before(l.Expires) {
		l.Expires = request.Now.Add(request.Duration)
		return l, nil
	}
	if request.Now.Before(l.Expires) {
		return l, fault.New(fault.Conflict, "vm %q holds the lease for commands to engines until %v on the ledger's clock; try again after that",
			l.Holder, l.Expires.Sub(time.Unix(0, 0)))
	}
	return Lease{Holder: request.Holder, Fencing: l.Fencing + 1, Expires: request.Now.Add(request.Duration)}, nil
}
