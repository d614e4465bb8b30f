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

func (s *Server) health(v *visit) error {
	v.question = true
	return writeJSON(v.w, statusJSON{Status: "ok"})
}

func (s *Server) ready(v *visit) error {
	v.question = true
	if err := s.Ready(); err != nil {
		return err
	}
	return writeJSON(v.w, statusJSON{Status: "ready"})
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

// models lists the models that the key may use.
func (s *Server) models(v *visit) (err error) {
	v.question = true
	if v.key, err = access.Authenticate(s.Board, secret(v.r.Request)); err != nil {
		return err
	}
	c := s.Board.Catalogue.Read()
	list := modelsJSON{Object: "list", Data: []modelJSON{}}
	for _, name := range catalogue.SortedNames(c.Routes) {
		route := c.Routes[name]
		if access.CheckRoute(route, v.key.Organisation) != nil {
			continue
		}
		for _, model := range route.Models {
			list.Data = append(list.Data, modelJSON{ID: model, Object: "model", OwnedBy: route.Name})
		}
	}
	return writeJSON(v.w, list)
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

// vms answers which entry VMs the key's holder should use, the best first. A
// route in the query leaves out the regions where its requests may not enter.
func (s *Server) vms(v *visit) (err error) {
	v.question = true
	if v.key, err = access.Authenticate(s.Board, secret(v.r.Request)); err != nil {
		return err
	}
	c := s.Board.Catalogue.Read()
	route := v.r.URL.Query().Get("route")
	if _, found := c.Routes[route]; route != "" && !found {
		return fault.New(fault.NotFound, "route: %q does not exist", route)
	}
	permitted := residency.Of(c, v.key.Organisation, route)
	members := directory.Order(c, s.Board.Members.View.Read(), s.Board.SelfMember(), v.key.Organisation)
	members = slices.DeleteFunc(members, func(m membership.Member) bool { return !permitted.Allows(m.Region) })
	answer := vmsJSON{TimeToLiveSeconds: int(directory.TimeToLive.Seconds()), VMs: []vmJSON{}}
	for _, m := range members {
		answer.VMs = append(answer.VMs, vmJSON{ID: m.ID, Address: m.CallerAddress, Region: m.Region, DataCentre: m.DataCentre})
	}
	return writeJSON(v.w, answer)
}
