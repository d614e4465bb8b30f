package instance

import (
	"net/netip"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/core/name"
)

const (
	// maxSlots bounds the requests that a target runs concurrently.
	maxSlots = 1 << 20
	// maxSequence is the highest whole number that every JSON library keeps exact.
	maxSequence = 1 << 53
	// maxAhead bounds how far ahead the times in a registration may be. It covers clocks
	// that differ.
	maxAhead = 24 * time.Hour
)

// Check returns a fault.Invalid error that names the first wrong field of a registration
// and its value. Other writers than targets may leave one that no target sends. Of a
// target that has left only the id and the start count.
func (r Registration) Check(now time.Time) (err error) {
	defer fault.Annotate(&err, "registration of target %s", fault.Quote(r.ID))
	if err := name.Check("id", r.ID); err != nil {
		return err
	}
	if r.State > Left {
		return fault.New(fault.Invalid, "state: %v is not known", r.State)
	}
	if r.Born < 0 || r.Born > now.Add(maxAhead).UnixMilli() {
		return fault.New(fault.Invalid, "born: %d is no time in Unix milliseconds up to now", r.Born)
	}
	if r.State == Left && r.Address == "" {
		return nil
	}
	if err := r.checkNames(); err != nil {
		return err
	}
	if err := checkAddress(r.Address); err != nil {
		return err
	}
	return r.checkNumbers(now)
}

func (r Registration) checkNames() error {
	if err := name.Check("service", r.Service); err != nil {
		return err
	}
	if err := name.Check("data centre", r.DataCentre); err != nil {
		return err
	}
	if r.Version == "" {
		return nil
	}
	return name.Check("version", r.Version)
}

func (r Registration) checkNumbers(now time.Time) error {
	if r.Slots < 0 || r.Slots > maxSlots {
		return fault.New(fault.Invalid, "slots: %d must be from 0 to %d", r.Slots, maxSlots)
	}
	if r.Sequence < 0 || r.Sequence > maxSequence {
		return fault.New(fault.Invalid, "sequence: %d must be from 0 to %d", r.Sequence, maxSequence)
	}
	if cold := r.ColdUntil.Sub(now); cold > maxAhead {
		return fault.New(fault.Invalid, "time until it is warm: %v must be at most %v", cold, maxAhead)
	}
	if left := r.LeaveBy.Sub(now); left > maxAhead {
		return fault.New(fault.Invalid, "time until it leaves: %v must be at most %v", left, maxAhead)
	}
	return nil
}

func checkAddress(value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return fault.New(fault.Invalid, "address: %s must be IP:port", fault.Quote(value))
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return fault.New(fault.Invalid, "address: %s is none that can be dialled", fault.Quote(value))
	}
	return nil
}
