// Package catalogue is the replicated configuration of the system:
// organisations, caller keys, routes, residency rules, the set of VMs, the
// traffic plan and the data centres being evacuated. It is the state machine of
// the control log: a change is applied whole or not at all and returns a new
// catalogue with the next revision. Published catalogues are immutable and may
// be read without locks.
package catalogue

import (
	"maps"
	"slices"
	"sort"

	"kingcuprill/core/fault"
)

// Catalogue is one revision of the configuration.
type Catalogue struct {
	Revision      uint64
	VMRevision    uint64 // revision of the last change of the VM set
	Organisations map[string]Organisation
	Keys          map[string]Key // by id
	Routes        map[string]Route
	Residencies   map[string]Residency
	VMs           map[string]VM
	Plan          Plan            // version 0: none yet
	Evacuated     map[string]bool // by name of the data centre

	keyBySecret  map[string]string      // secret hash to key id
	rulesOf      map[string][]Residency // by organisation; "" for all organisations
	routeByModel map[string]string
}

// New returns the empty catalogue at revision 0.
func New() *Catalogue {
	c := &Catalogue{
		Organisations: map[string]Organisation{},
		Keys:          map[string]Key{},
		Routes:        map[string]Route{},
		Residencies:   map[string]Residency{},
		VMs:           map[string]VM{},
		Evacuated:     map[string]bool{},
	}
	c.Index()
	return c
}

// Index rebuilds the lookup tables. It must be called after the exported maps
// were filled in directly.
func (c *Catalogue) Index() {
	c.indexKeys()
	c.indexRoutes()
	c.indexRules()
}

func (c *Catalogue) indexRules() {
	c.rulesOf = map[string][]Residency{}
	for _, name := range SortedNames(c.Residencies) {
		rule := c.Residencies[name]
		c.rulesOf[rule.Organisation] = append(c.rulesOf[rule.Organisation], rule)
	}
}

// RulesOf returns the residency rules that name an organisation, in order of
// their names. The empty name returns the rules for all organisations.
func (c *Catalogue) RulesOf(organisation string) []Residency {
	return c.rulesOf[organisation]
}

func (c *Catalogue) indexKeys() {
	c.keyBySecret = make(map[string]string, len(c.Keys))
	for id, key := range c.Keys {
		c.keyBySecret[key.SecretHash] = id
	}
}

func (c *Catalogue) indexRoutes() {
	c.routeByModel = map[string]string{}
	for _, name := range SortedNames(c.Routes) {
		for _, model := range c.Routes[name].Models {
			if _, taken := c.routeByModel[model]; !taken {
				c.routeByModel[model] = name
			}
		}
	}
}

// KeyBySecretHash finds a key, withdrawn or not, by the hash of its secret.
func (c *Catalogue) KeyBySecretHash(hash string) (key Key, found bool) {
	id, found := c.keyBySecret[hash]
	if !found {
		return Key{}, false
	}
	return c.Keys[id], true
}

// RouteByModel finds the route that serves a model.
func (c *Catalogue) RouteByModel(model string) (route Route, found bool) {
	name, found := c.routeByModel[model]
	if !found {
		return Route{}, false
	}
	return c.Routes[name], true
}

// With returns the catalogue after one change, at the next revision. On an
// error, which names the field, nothing is changed. A plan or evacuation that is
// already in effect returns the same catalogue at the same revision.
func (c *Catalogue) With(change Change) (next *Catalogue, err error) {
	if err := change.Validate(); err != nil {
		return nil, err
	}
	if c.inEffect(change) {
		return c, nil
	}
	copied := *c
	next = &copied
	next.Revision++
	if err := next.apply(change); err != nil {
		return nil, err
	}
	return next, nil
}

func (c *Catalogue) apply(change Change) error {
	switch {
	case change.PutOrganisation != nil:
		c.Organisations = put(c.Organisations, change.PutOrganisation.Name, *change.PutOrganisation)
	case change.RemoveOrganisation != "":
		return c.removeOrganisation(change.RemoveOrganisation)
	case change.GrantKey != nil:
		return c.grantKey(*change.GrantKey)
	case change.WithdrawKey != "":
		return c.withdrawKey(change.WithdrawKey)
	case change.PutRoute != nil:
		return c.putRoute(*change.PutRoute)
	case change.RemoveRoute != "":
		return c.removeRoute(change.RemoveRoute)
	case change.PutResidency != nil:
		return c.putResidency(*change.PutResidency)
	case change.RemoveResidency != "":
		return c.removeResidency(change.RemoveResidency)
	case change.PutVM != nil:
		return c.putVM(*change.PutVM)
	case change.RemoveVM != "":
		return c.removeVM(change.RemoveVM)
	case change.ConfirmStoppedVM != "":
		return c.confirmStoppedVM(change.ConfirmStoppedVM)
	case change.ApplyConfig != nil:
		return c.applyConfig(*change.ApplyConfig)
	case change.PutPlan != nil:
		c.Plan = *change.PutPlan
	case change.SetEvacuation != nil:
		c.setEvacuation(*change.SetEvacuation)
	case change.SettleVMs != 0:
		return c.settleVMs(change.SettleVMs)
	}
	return nil
}

// inEffect reports whether a plan or an evacuation is already in effect. The
// revision then stays the same, so that a repeated command causes no replication
// to the other VMs.
func (c *Catalogue) inEffect(change Change) bool {
	switch {
	case change.PutPlan != nil:
		return change.PutPlan.Version <= c.Plan.Version
	case change.SetEvacuation != nil:
		return c.Evacuated[change.SetEvacuation.DataCentre] == !change.SetEvacuation.Ended
	}
	return false
}

func (c *Catalogue) setEvacuation(evacuation Evacuation) {
	if evacuation.Ended {
		c.Evacuated = without(c.Evacuated, evacuation.DataCentre)
		return
	}
	c.Evacuated = put(c.Evacuated, evacuation.DataCentre, true)
}

func (c *Catalogue) removeOrganisation(name string) error {
	if _, found := c.Organisations[name]; !found {
		return fault.New(fault.NotFound, "organisation %q does not exist", name)
	}
	c.Organisations = without(c.Organisations, name)
	c.Keys = maps.Clone(c.Keys)
	maps.DeleteFunc(c.Keys, func(_ string, key Key) bool { return key.Organisation == name })
	c.indexKeys()
	return nil
}

func (c *Catalogue) grantKey(key Key) error {
	if _, found := c.Organisations[key.Organisation]; !found {
		return fault.New(fault.NotFound, "key.organisation %q does not exist", key.Organisation)
	}
	if _, found := c.Keys[key.ID]; found {
		return fault.New(fault.Conflict, "key.id %q exists already", key.ID)
	}
	if _, found := c.keyBySecret[key.SecretHash]; found {
		return fault.New(fault.Conflict, "key.secret_hash belongs to another key")
	}
	c.Keys = put(c.Keys, key.ID, key)
	c.keyBySecret = put(c.keyBySecret, key.SecretHash, key.ID)
	return nil
}

func (c *Catalogue) withdrawKey(id string) error {
	key, found := c.Keys[id]
	if !found {
		return fault.New(fault.NotFound, "key %q does not exist", id)
	}
	key.Withdrawn = true
	c.Keys = put(c.Keys, id, key)
	return nil
}

func (c *Catalogue) putRoute(route Route) error {
	for _, name := range route.Organisations {
		if _, found := c.Organisations[name]; !found {
			return fault.New(fault.NotFound, "route.organisations: %q does not exist", name)
		}
	}
	for _, model := range route.Models {
		if other, taken := c.routeByModel[model]; taken && other != route.Name {
			return fault.New(fault.Conflict, "route.models: %q is served by route %q already", model, other)
		}
	}
	c.Routes = put(c.Routes, route.Name, route)
	c.indexRoutes()
	return nil
}

func (c *Catalogue) removeRoute(name string) error {
	if _, found := c.Routes[name]; !found {
		return fault.New(fault.NotFound, "route %q does not exist", name)
	}
	c.Routes = without(c.Routes, name)
	c.indexRoutes()
	return nil
}

func (c *Catalogue) putResidency(rule Residency) error {
	if _, found := c.Organisations[rule.Organisation]; rule.Organisation != "" && !found {
		return fault.New(fault.NotFound, "residency.organisation %q does not exist", rule.Organisation)
	}
	if _, found := c.Routes[rule.Route]; rule.Route != "" && !found {
		return fault.New(fault.NotFound, "residency.route %q does not exist", rule.Route)
	}
	c.Residencies = put(c.Residencies, rule.Name, rule)
	c.indexRules()
	return nil
}

func (c *Catalogue) removeResidency(name string) error {
	if _, found := c.Residencies[name]; !found {
		return fault.New(fault.NotFound, "residency rule %q does not exist", name)
	}
	c.Residencies = without(c.Residencies, name)
	c.indexRules()
	return nil
}

// putVM adds a VM in state joining, or updates a known VM and keeps its state.
// The shares of the rate limits depend on region and data centre, so these can't
// be updated.
func (c *Catalogue) putVM(vm VM) error {
	old, found := c.VMs[vm.ID]
	if found && (old.Region != vm.Region || old.DataCentre != vm.DataCentre) {
		return fault.New(fault.Conflict, "vm %q is in data centre %q of region %q; remove it before it moves to %q of %q",
			vm.ID, old.DataCentre, old.Region, vm.DataCentre, vm.Region)
	}
	if found && (old.State == VMLeaving || old.State == VMStopped) {
		return fault.New(fault.Conflict, "vm %q is leaving; add it again once it has left the set", vm.ID)
	}
	vm.State = VMJoining
	if found {
		vm.State = old.State
	}
	c.VMs = put(c.VMs, vm.ID, vm)
	if !found {
		c.VMRevision = c.Revision
	}
	return nil
}

func (c *Catalogue) removeVM(id string) error {
	vm, found := c.VMs[id]
	if !found {
		return fault.New(fault.NotFound, "vm %q does not exist", id)
	}
	vm.State = VMLeaving
	c.VMs = put(c.VMs, id, vm)
	c.VMRevision = c.Revision
	return nil
}

// confirmStoppedVM records an operator's confirmation that a leaving VM doesn't
// run, so that its limit share can be reassigned without its acknowledgement.
func (c *Catalogue) confirmStoppedVM(id string) error {
	vm, found := c.VMs[id]
	if !found {
		return fault.New(fault.NotFound, "vm %q does not exist", id)
	}
	if vm.State != VMLeaving {
		return fault.New(fault.Conflict, "vm %q is %s; remove it first", id, vm.State)
	}
	vm.State = VMStopped
	c.VMs = put(c.VMs, id, vm)
	return nil
}

// settleVMs completes a change of the VM set after every VM has acknowledged it:
// joining VMs become active, leaving and stopped ones are removed.
func (c *Catalogue) settleVMs(vmRevision uint64) error {
	if vmRevision != c.VMRevision {
		return fault.New(fault.StaleRevision, "the VM set changed at revision %d, not %d", c.VMRevision, vmRevision)
	}
	settled := make(map[string]VM, len(c.VMs))
	for id, vm := range c.VMs {
		if vm.State == VMLeaving || vm.State == VMStopped {
			continue
		}
		vm.State = VMActive
		settled[id] = vm
	}
	c.VMs = settled
	return nil
}

func (c *Catalogue) applyConfig(config Config) error {
	fresh := New()
	fresh.Revision = c.Revision
	for _, organisation := range config.Organisations {
		fresh.Organisations[organisation.Name] = organisation
	}
	for _, route := range config.Routes {
		if err := fresh.putRoute(route); err != nil {
			return err
		}
	}
	for _, rule := range config.Residencies {
		if err := fresh.putResidency(rule); err != nil {
			return err
		}
	}
	for _, id := range SortedNames(c.Keys) {
		if _, found := fresh.Organisations[c.Keys[id].Organisation]; !found {
			return fault.New(fault.Conflict, "organisations: %q is missing but key %q belongs to it; remove the organisation first", c.Keys[id].Organisation, id)
		}
	}
	c.Organisations = fresh.Organisations
	c.Routes = fresh.Routes
	c.Residencies = fresh.Residencies
	c.indexRoutes()
	c.indexRules()
	return nil
}

// Unsettled reports whether a change of the VM set waits for acknowledgements.
func (c *Catalogue) Unsettled() bool {
	for _, vm := range c.VMs {
		if vm.State != VMActive {
			return true
		}
	}
	return false
}

// SortedNames returns the keys of a map in ascending order.
func SortedNames[T any](rows map[string]T) []string {
	names := slices.Collect(maps.Keys(rows))
	sort.Strings(names)
	return names
}

func put[T any](rows map[string]T, name string, row T) map[string]T {
	next := make(map[string]T, len(rows)+1)
	maps.Copy(next, rows)
	next[name] = row
	return next
}

func without[T any](rows map[string]T, name string) map[string]T {
	next := maps.Clone(rows)
	delete(next, name)
	return next
}
