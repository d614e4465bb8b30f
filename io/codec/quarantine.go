package codec

import (
	"kingcuprill/core/quarantine"
	"kingcuprill/rpc/vm"
)

// FromCrashes maps crashes of targets to their messages.
func FromCrashes(rows []quarantine.Crash) (messages []*vm.Crash) {
	for _, c := range rows {
		messages = append(messages, &vm.Crash{
			Id: c.ID, Boot: c.Boot, Service: c.Service, Organisation: c.Organisation, Parts: c.Parts, Known: c.Known,
			Cleared: c.Cleared, Begun: c.Begun, Trial: c.Trial,
		})
	}
	return messages
}

// ToCrashes maps messages to crashes of targets. Those without an id are left out.
func ToCrashes(messages []*vm.Crash) (rows []quarantine.Crash) {
	for _, m := range messages {
		if m.GetId() == "" {
			continue
		}
		rows = append(rows, quarantine.Crash{
			ID: m.GetId(), Boot: m.GetBoot(), Service: m.GetService(), Organisation: m.GetOrganisation(), Parts: m.GetParts(), Known: m.GetKnown(),
			Cleared: m.GetCleared(), Begun: m.GetBegun(), Trial: m.GetTrial(),
		})
	}
	return rows
}
