package caller

import (
	"encoding/json"
	"net/http"
	"slices"

	"kingcuprill/core/access"
	"kingcuprill/core/catalogue"
	"kingcuprill/core/directory"
	"kingcuprill/core/fault"
	"kingcuprill/core/membership"
	"kingcuprill/core/residency"
)

func writeJSON(w http.ResponseWriter, content any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(content)
}

type statusJSON struct {
	Status string `json:"status"`
}

func (s *Server) health(in *incomingRequest) error {
	in.untracked = true
	return writeJSON(in.w, statusJSON{Status: "ok"})
}

func (s *Server) ready(in *incomingRequest) error {
	in.untracked = true
	if err := s.Ready(); err != nil {
		return err
	}
	return writeJSON(in.w, statusJSON{Status: "ready"})
}

type modelJSON struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelsJSON struct {
	Object string      `json:"object"`
	Data   []modelJSON `json:"data"`
}

// models lists the models that the key's organisation may use.
func (s *Server) models(in *incomingRequest) (err error) {
	in.untracked = true
	if in.key, err = access.Authenticate(s.VMState, secret(in.r.Request)); err != nil {
		return err
	}
	c := s.VMState.Catalogue.Read()
	list := modelsJSON{Object: "list", Data: []modelJSON{}}
	for _, name := range catalogue.SortedNames(c.Routes) {
		route := c.Routes[name]
		if access.CheckRoute(route, in.key.Organisation) != nil {
			continue
		}
		for _, model := range route.Models {
			list.Data = append(list.Data, modelJSON{ID: model, Object: "model", OwnedBy: route.Name})
		}
	}
	return writeJSON(in.w, list)
}

type vmJSON struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

type vmsJSON struct {
	TimeToLiveSeconds int      `json:"time_to_live_seconds"`
	VMs               []vmJSON `json:"vms"`
}

// vms lists the entry VMs that the key's organisation should use, the best first.
// With a route in the query, VMs in regions that residency forbids for its
// requests are left out.
func (s *Server) vms(in *incomingRequest) (err error) {
	in.untracked = true
	if in.key, err = access.Authenticate(s.VMState, secret(in.r.Request)); err != nil {
		return err
	}
	c := s.VMState.Catalogue.Read()
	route := in.r.URL.Query().Get("route")
	if _, found := c.Routes[route]; route != "" && !found {
		return fault.New(fault.NotFound, "route: %q does not exist", route)
	}
	permitted := residency.Of(c, in.key.Organisation, route)
	members := directory.Order(c, s.VMState.Members.View.Read(), s.VMState.SelfMember(), in.key.Organisation)
	members = slices.DeleteFunc(members, func(m membership.Member) bool { return !permitted.Allows(m.Region) })
	answer := vmsJSON{TimeToLiveSeconds: int(directory.TimeToLive.Seconds()), VMs: []vmJSON{}}
	for _, m := range members {
		answer.VMs = append(answer.VMs, vmJSON{ID: m.ID, Address: m.CallerAddress, Region: m.Region, DataCentre: m.DataCentre})
	}
	return writeJSON(in.w, answer)
}
