// Package orders decides which VM may give orders to engines. The right is a
// lease in the replicated state; its number grows with each new holder and
// fences the orders of former ones.
package orders

import (
	"time"

	"kingcuprill/core/fault"
)

// Lease is the right to give orders.
type Lease struct {
	Holder  string
	Fencing uint64
	Expires time.Time // on the ledger's clock
}

// Request asks for the lease or renews it.
type Request struct {
	Holder   string
	Now      time.Time // on the ledger's clock
	Duration time.Duration
}

// Grant returns the lease after a request. A holder renews under its number;
// another VM gets the lease, under the next number, only once it has expired.
func (l Lease) Grant(request Request) (granted Lease, err error) {
	if l.Holder == request.Holder && request.Now.Before(l.Expires) {
		l.Expires = request.Now.Add(request.Duration)
		return l, nil
	}
	if request.Now.Before(l.Expires) {
		return l, fault.New(fault.Conflict, "vm %q holds the right to give orders until %v on the ledger's clock",
			l.Holder, l.Expires.Sub(time.Unix(0, 0)))
	}
	return Lease{Holder: request.Holder, Fencing: l.Fencing + 1, Expires: request.Now.Add(request.Duration)}, nil
}
