package gossip

import (
	"kingcuprill/core/membership"
	"kingcuprill/core/summary"
	"kingcuprill/rpc/vm"
)

func fromMembers(members []membership.Member) []*vm.Member {
	rows := make([]*vm.Member, 0, len(members))
	for _, m := range members {
		rows = append(rows, &vm.Member{
			Id: m.ID, Region: m.Region, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress, CallerAddress: m.CallerAddress,
			Incarnation: m.Incarnation, State: uint32(m.State), Revision: m.Revision, Control: m.Control,
		})
	}
	return rows
}

func toMembers(rows []*vm.Member) []membership.Member {
	members := make([]membership.Member, 0, len(rows))
	for _, m := range rows {
		members = append(members, membership.Member{
			ID: m.GetId(), Region: m.GetRegion(), DataCentre: m.GetDataCentre(), PeerAddress: m.GetPeerAddress(),
			CallerAddress: m.GetCallerAddress(), Incarnation: m.GetIncarnation(), State: membership.State(min(m.GetState(), uint32(membership.Dead))),
			Revision: m.GetRevision(), Control: m.GetControl(),
		})
	}
	return members
}

func fromSummary(s summary.Summary) *vm.Summary {
	m := &vm.Summary{DataCentre: s.DataCentre, Region: s.Region, Version: s.Version}
	for _, service := range s.Services {
		m.Services = append(m.Services, &vm.ServiceLoad{
			Service: service.Name, Capacity: int32(service.Capacity), InFlight: int32(service.InFlight), Models: service.Models,
		})
	}
	return m
}

func toSummary(m *vm.Summary) summary.Summary {
	s := summary.Summary{DataCentre: m.GetDataCentre(), Region: m.GetRegion(), Version: m.GetVersion()}
	for _, service := range m.GetServices() {
		s.Services = append(s.Services, summary.Service{
			Name: service.GetService(), Capacity: int(service.GetCapacity()), InFlight: int(service.GetInFlight()), Models: service.GetModels(),
		})
	}
	return s
}
