// Package codec converts the domain types to the protobuf messages of the schema
// files and back, field by field. It validates nothing: a missing field becomes
// the zero value. Durations are sent in nanoseconds, and points in time as Unix
// nanoseconds unless a function says otherwise.
package codec

import (
	"time"

	"kingcuprill/core/catalogue"
	"kingcuprill/rpc/state"
)

// FromOrganisation maps an organisation to its message.
func FromOrganisation(o catalogue.Organisation) *state.Organisation {
	return &state.Organisation{
		Name: o.Name, RatePerSecond: o.RatePerSecond, Burst: o.Burst, Weight: o.Weight, HomeRegion: o.HomeRegion,
	}
}

// ToOrganisation maps a message to an organisation.
func ToOrganisation(m *state.Organisation) catalogue.Organisation {
	return catalogue.Organisation{
		Name: m.GetName(), RatePerSecond: m.GetRatePerSecond(), Burst: m.GetBurst(), Weight: m.GetWeight(), HomeRegion: m.GetHomeRegion(),
	}
}

// FromKey maps a key to its message.
func FromKey(k catalogue.Key) *state.Key {
	return &state.Key{Id: k.ID, Organisation: k.Organisation, SecretHash: k.SecretHash, Withdrawn: k.Withdrawn}
}

// ToKey maps a message to a key.
func ToKey(m *state.Key) catalogue.Key {
	return catalogue.Key{ID: m.GetId(), Organisation: m.GetOrganisation(), SecretHash: m.GetSecretHash(), Withdrawn: m.GetWithdrawn()}
}

// FromRoute maps a route to its message.
func FromRoute(r catalogue.Route) *state.Route {
	return &state.Route{
		Name: r.Name, Kind: string(r.Kind), Service: r.Service, Models: r.Models, Open: r.Open,
		Organisations: r.Organisations, Repeatable: r.Repeatable, DeadlineNanoseconds: int64(r.Deadline),
		Priority: int32(r.Priority), SendOrganisation: r.SendOrganisation,
	}
}

// ToRoute maps a message to a route.
func ToRoute(m *state.Route) catalogue.Route {
	return catalogue.Route{
		Name: m.GetName(), Kind: catalogue.RouteKind(m.GetKind()), Service: m.GetService(), Models: m.GetModels(),
		Open: m.GetOpen(), Organisations: m.GetOrganisations(), Repeatable: m.GetRepeatable(),
		Deadline: time.Duration(m.GetDeadlineNanoseconds()), Priority: int(m.GetPriority()), SendOrganisation: m.GetSendOrganisation(),
	}
}

// FromResidency maps a residency rule to its message.
func FromResidency(r catalogue.Residency) *state.Residency {
	return &state.Residency{Name: r.Name, Organisation: r.Organisation, Route: r.Route, Regions: r.Regions}
}

// ToResidency maps a message to a residency rule.
func ToResidency(m *state.Residency) catalogue.Residency {
	return catalogue.Residency{Name: m.GetName(), Organisation: m.GetOrganisation(), Route: m.GetRoute(), Regions: m.GetRegions()}
}

// FromVM maps a VM to its message.
func FromVM(v catalogue.VM) *state.VM {
	return &state.VM{
		Id: v.ID, Region: v.Region, DataCentre: v.DataCentre, PeerAddress: v.PeerAddress,
		CallerAddress: v.CallerAddress, State: string(v.State),
	}
}

// ToVM maps a message to a VM.
func ToVM(m *state.VM) catalogue.VM {
	return catalogue.VM{
		ID: m.GetId(), Region: m.GetRegion(), DataCentre: m.GetDataCentre(), PeerAddress: m.GetPeerAddress(),
		CallerAddress: m.GetCallerAddress(), State: catalogue.VMState(m.GetState()),
	}
}

// FromConfig maps a configuration to its message.
func FromConfig(c catalogue.Config) *state.Config {
	return &state.Config{
		Organisations: mapAll(c.Organisations, FromOrganisation),
		Routes:        mapAll(c.Routes, FromRoute),
		Residencies:   mapAll(c.Residencies, FromResidency),
	}
}

// ToConfig maps a message to a configuration.
func ToConfig(m *state.Config) catalogue.Config {
	return catalogue.Config{
		Organisations: mapAll(m.GetOrganisations(), ToOrganisation),
		Routes:        mapAll(m.GetRoutes(), ToRoute),
		Residencies:   mapAll(m.GetResidencies(), ToResidency),
	}
}

// FromCatalogue maps a catalogue to its message. The rows are sorted
// by name or id, so that equal catalogues give equal messages.
func FromCatalogue(c *catalogue.Catalogue) *state.Catalogue {
	return &state.Catalogue{
		Revision:      c.Revision,
		VmRevision:    c.VMRevision,
		Organisations: mapRows(c.Organisations, FromOrganisation),
		Keys:          mapRows(c.Keys, FromKey),
		Routes:        mapRows(c.Routes, FromRoute),
		Residencies:   mapRows(c.Residencies, FromResidency),
		Vms:           mapRows(c.VMs, FromVM),
		Plan:          FromPlan(c.Plan),
		Evacuated:     catalogue.SortedNames(c.Evacuated),
	}
}

// ToCatalogue maps a message to a catalogue.
func ToCatalogue(m *state.Catalogue) *catalogue.Catalogue {
	c := catalogue.New()
	c.Revision = m.GetRevision()
	c.VMRevision = m.GetVmRevision()
	for _, row := range m.GetOrganisations() {
		c.Organisations[row.GetName()] = ToOrganisation(row)
	}
	for _, row := range m.GetKeys() {
		c.Keys[row.GetId()] = ToKey(row)
	}
	for _, row := range m.GetRoutes() {
		c.Routes[row.GetName()] = ToRoute(row)
	}
	for _, row := range m.GetResidencies() {
		c.Residencies[row.GetName()] = ToResidency(row)
	}
	for _, row := range m.GetVms() {
		c.VMs[row.GetId()] = ToVM(row)
	}
	c.Plan = ToPlan(m.GetPlan())
	for _, dataCentre := range m.GetEvacuated() {
		c.Evacuated[dataCentre] = true
	}
	c.Index()
	return c
}

// FromPlan maps a plan, a traffic configuration, to its message.
func FromPlan(p catalogue.Plan) *state.Plan {
	return &state.Plan{Version: p.Version, Document: p.Document}
}

// ToPlan maps a message to a plan.
func ToPlan(m *state.Plan) catalogue.Plan {
	return catalogue.Plan{Version: m.GetVersion(), Document: m.GetDocument()}
}

// FromEvacuation maps an evacuation to its message.
func FromEvacuation(e catalogue.Evacuation) *state.Evacuation {
	return &state.Evacuation{DataCentre: e.DataCentre, Ended: e.Ended}
}

// ToEvacuation maps a message to an evacuation.
func ToEvacuation(m *state.Evacuation) catalogue.Evacuation {
	return catalogue.Evacuation{DataCentre: m.GetDataCentre(), Ended: m.GetEnded()}
}

// FromChange maps a change to its message. Exactly one field of the change is
// expected to be set.
func FromChange(c catalogue.Change) *state.Change {
	m := &state.Change{}
	switch {
	case c.PutOrganisation != nil:
		m.Kind = &state.Change_PutOrganisation{PutOrganisation: FromOrganisation(*c.PutOrganisation)}
	case c.RemoveOrganisation != "":
		m.Kind = &state.Change_RemoveOrganisation{RemoveOrganisation: c.RemoveOrganisation}
	case c.GrantKey != nil:
		m.Kind = &state.Change_GrantKey{GrantKey: FromKey(*c.GrantKey)}
	case c.WithdrawKey != "":
		m.Kind = &state.Change_WithdrawKey{WithdrawKey: c.WithdrawKey}
	case c.PutRoute != nil:
		m.Kind = &state.Change_PutRoute{PutRoute: FromRoute(*c.PutRoute)}
	case c.RemoveRoute != "":
		m.Kind = &state.Change_RemoveRoute{RemoveRoute: c.RemoveRoute}
	case c.PutResidency != nil:
		m.Kind = &state.Change_PutResidency{PutResidency: FromResidency(*c.PutResidency)}
	case c.RemoveResidency != "":
		m.Kind = &state.Change_RemoveResidency{RemoveResidency: c.RemoveResidency}
	case c.PutVM != nil:
		m.Kind = &state.Change_PutVm{PutVm: FromVM(*c.PutVM)}
	case c.RemoveVM != "":
		m.Kind = &state.Change_RemoveVm{RemoveVm: c.RemoveVM}
	case c.ConfirmStoppedVM != "":
		m.Kind = &state.Change_ConfirmStoppedVm{ConfirmStoppedVm: c.ConfirmStoppedVM}
	case c.ApplyConfig != nil:
		m.Kind = &state.Change_ApplyConfig{ApplyConfig: FromConfig(*c.ApplyConfig)}
	case c.PutPlan != nil:
		m.Kind = &state.Change_PutPlan{PutPlan: FromPlan(*c.PutPlan)}
	case c.SetEvacuation != nil:
		m.Kind = &state.Change_SetEvacuation{SetEvacuation: FromEvacuation(*c.SetEvacuation)}
	case c.SettleVMs != 0:
		m.Kind = &state.Change_SettleVms{SettleVms: c.SettleVMs}
	}
	return m
}

// ToChange maps a message to a change. A message without a kind, or with one that
// is not known, gives the empty change, which Change.Validate rejects.
func ToChange(m *state.Change) (c catalogue.Change) {
	switch kind := m.GetKind().(type) {
	case *state.Change_PutOrganisation:
		c.PutOrganisation = ptr(ToOrganisation(kind.PutOrganisation))
	case *state.Change_RemoveOrganisation:
		c.RemoveOrganisation = kind.RemoveOrganisation
	case *state.Change_GrantKey:
		c.GrantKey = ptr(ToKey(kind.GrantKey))
	case *state.Change_WithdrawKey:
		c.WithdrawKey = kind.WithdrawKey
	case *state.Change_PutRoute:
		c.PutRoute = ptr(ToRoute(kind.PutRoute))
	case *state.Change_RemoveRoute:
		c.RemoveRoute = kind.RemoveRoute
	case *state.Change_PutResidency:
		c.PutResidency = ptr(ToResidency(kind.PutResidency))
	case *state.Change_RemoveResidency:
		c.RemoveResidency = kind.RemoveResidency
	case *state.Change_PutVm:
		c.PutVM = ptr(ToVM(kind.PutVm))
	case *state.Change_RemoveVm:
		c.RemoveVM = kind.RemoveVm
	case *state.Change_ConfirmStoppedVm:
		c.ConfirmStoppedVM = kind.ConfirmStoppedVm
	case *state.Change_ApplyConfig:
		c.ApplyConfig = ptr(ToConfig(kind.ApplyConfig))
	case *state.Change_PutPlan:
		c.PutPlan = ptr(ToPlan(kind.PutPlan))
	case *state.Change_SetEvacuation:
		c.SetEvacuation = ptr(ToEvacuation(kind.SetEvacuation))
	case *state.Change_SettleVms:
		c.SettleVMs = kind.SettleVms
	}
	return c
}

func ptr[T any](value T) *T {
	return &value
}

func mapAll[A, B any](rows []A, convert func(A) B) []B {
	mapped := make([]B, 0, len(rows))
	for _, row := range rows {
		mapped = append(mapped, convert(row))
	}
	return mapped
}

// mapRows converts the values of a map in the order of their keys.
func mapRows[A, B any](rows map[string]A, convert func(A) B) []B {
	mapped := make([]B, 0, len(rows))
	for _, name := range catalogue.SortedNames(rows) {
		mapped = append(mapped, convert(rows[name]))
	}
	return mapped
}
