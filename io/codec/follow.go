package codec

import (
	"math"
	"time"

	"kingcuprill/core/entry"
	"kingcuprill/core/instance"
	"kingcuprill/rpc/vm"
)

// FromEntryVM maps an entry VM to its message.
func FromEntryVM(v entry.VM) *vm.EntryVM {
	return &vm.EntryVM{
		Id: v.ID, Region: v.Region, DataCentre: v.DataCentre, CallerAddress: v.CallerAddress,
		PeerAddress: v.PeerAddress, Ready: v.Ready, WithoutTargets: v.WithoutTargets, LinkRate: v.LinkRate, LinkBusy: v.LinkBusy, LinkFull: v.LinkFull,
	}
}

// ToEntryVM maps a message to an entry VM.
func ToEntryVM(m *vm.EntryVM) entry.VM {
	return entry.VM{
		ID: m.GetId(), Region: m.GetRegion(), DataCentre: m.GetDataCentre(), CallerAddress: m.GetCallerAddress(),
		PeerAddress: m.GetPeerAddress(), Ready: m.GetReady(), WithoutTargets: m.GetWithoutTargets(), LinkRate: m.GetLinkRate(), LinkBusy: m.GetLinkBusy(), LinkFull: m.GetLinkFull(),
	}
}

// FromRegistration maps a registration to its message. Points in time are sent as
// durations relative to now, since the clocks of VMs differ.
func FromRegistration(r instance.Registration, now time.Time) *vm.Registration {
	m := &vm.Registration{
		Id: r.ID, Service: r.Service, Address: r.Address, DataCentre: r.DataCentre, Version: r.Version,
		Slots: int32(r.Slots), State: uint32(r.State), BornUnixMilliseconds: r.Born, Sequence: r.Sequence,
		HeardNanoseconds: int64(now.Sub(r.Heard)),
	}
	if r.ColdUntil.After(now) {
		m.ColdNanoseconds = int64(r.ColdUntil.Sub(now))
	}
	if !r.LeaveBy.IsZero() {
		m.LeaveNanoseconds = max(1, int64(r.LeaveBy.Sub(now)))
	}
	return m
}

// ToRegistration maps a message that was received at now to a registration. It may be one
// that Registration.Check refuses.
func ToRegistration(m *vm.Registration, now time.Time) instance.Registration {
	r := instance.Registration{
		ID: m.GetId(), Service: m.GetService(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(), Version: m.GetVersion(),
		Slots: int(m.GetSlots()), State: instance.State(min(m.GetState(), math.MaxUint8)), Born: m.GetBornUnixMilliseconds(), Sequence: m.GetSequence(),
		Heard: now.Add(-time.Duration(max(0, m.GetHeardNanoseconds()))),
	}
	if m.GetColdNanoseconds() > 0 {
		r.ColdUntil = now.Add(time.Duration(m.GetColdNanoseconds()))
	}
	if m.GetLeaveNanoseconds() > 0 {
		r.LeaveBy = now.Add(time.Duration(m.GetLeaveNanoseconds()))
	}
	return r
}
