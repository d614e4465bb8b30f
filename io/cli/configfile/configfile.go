// Package configfile converts between the configuration (organisations, routes and
// residency rules) and its JSON file format. Unknown fields are errors. Keys and VMs
// are not part of the file.
package configfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
)

type organisationJSON struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	Weight        float64 `json:"weight"`
	HomeRegion    string  `json:"home_region,omitempty"`
}

type routeJSON struct {
	Name             string   `json:"name"`
	Kind             string   `json:"kind"`
	Service          string   `json:"service"`
	Models           []string `json:"models,omitempty"`
	Open             bool     `json:"open,omitempty"`
	Organisations    []string `json:"organisations,omitempty"`
	Repeatable       bool     `json:"repeatable,omitempty"`
	Deadline         string   `json:"deadline"`
	Priority         int      `json:"priority,omitempty"`
	SendOrganisation bool     `json:"send_organisation,omitempty"`
}

type residencyJSON struct {
	Name         string   `json:"name"`
	Organisation string   `json:"organisation,omitempty"`
	Route        string   `json:"route,omitempty"`
	Regions      []string `json:"regions"`
}

type configJSON struct {
	Organisations []organisationJSON `json:"organisations"`
	Routes        []routeJSON        `json:"routes"`
	Residencies   []residencyJSON    `json:"residencies"`
}

// Read parses and validates a configuration file.
func Read(path string) (config *state.Config, err error) {
	defer fault.Annotate(&err, "configuration %s", path)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

// Parse parses and validates a configuration in JSON. A validation error names
// the row and the field.
func Parse(data []byte) (config *state.Config, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var file configJSON
	if err := decoder.Decode(&file); err != nil {
		return nil, err
	}
	config = &state.Config{}
	for _, o := range file.Organisations {
		config.Organisations = append(config.Organisations, &state.Organisation{
			Name: o.Name, RatePerSecond: o.RatePerSecond, Burst: o.Burst, Weight: o.Weight, HomeRegion: o.HomeRegion,
		})
	}
	for _, r := range file.Routes {
		deadline, err := time.ParseDuration(r.Deadline)
		if err != nil {
			return nil, fmt.Errorf("routes.%s.deadline: %q must be a duration, such as 30s", r.Name, r.Deadline)
		}
		config.Routes = append(config.Routes, &state.Route{
			Name: r.Name, Kind: r.Kind, Service: r.Service, Models: r.Models, Open: r.Open, Organisations: r.Organisations,
			Repeatable: r.Repeatable, DeadlineNanoseconds: int64(deadline), Priority: int32(r.Priority), SendOrganisation: r.SendOrganisation,
		})
	}
	for _, r := range file.Residencies {
		config.Residencies = append(config.Residencies, &state.Residency{
			Name: r.Name, Organisation: r.Organisation, Route: r.Route, Regions: r.Regions,
		})
	}
	return config, codec.ToConfig(config).Validate()
}

// Format returns the configuration of a catalogue as indented JSON that Parse reads.
func Format(c *state.Catalogue) ([]byte, error) {
	file := configJSON{Organisations: []organisationJSON{}, Routes: []routeJSON{}, Residencies: []residencyJSON{}}
	for _, o := range c.GetOrganisations() {
		file.Organisations = append(file.Organisations, organisationJSON{
			Name: o.GetName(), RatePerSecond: o.GetRatePerSecond(), Burst: o.GetBurst(), Weight: o.GetWeight(), HomeRegion: o.GetHomeRegion(),
		})
	}
	for _, r := range c.GetRoutes() {
		file.Routes = append(file.Routes, routeJSON{
			Name: r.GetName(), Kind: r.GetKind(), Service: r.GetService(), Models: r.GetModels(), Open: r.GetOpen(),
			Organisations: r.GetOrganisations(), Repeatable: r.GetRepeatable(),
			Deadline: time.Duration(r.GetDeadlineNanoseconds()).String(), Priority: int(r.GetPriority()), SendOrganisation: r.GetSendOrganisation(),
		})
	}
	for _, r := range c.GetResidencies() {
		file.Residencies = append(file.Residencies, residencyJSON{
			Name: r.GetName(), Organisation: r.GetOrganisation(), Route: r.GetRoute(), Regions: r.GetRegions(),
		})
	}
	data, err := json.MarshalIndent(file, "", "  ")
	return append(data, '\n'), err
}
