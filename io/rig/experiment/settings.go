// Package experiment measures the system on real processes: one settings file
// and a seed make one run.
package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"kingcuprill/core/fault"
)

// Organisation is one organisation's limit and load.
type Organisation struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"` // tokens
	Burst         float64 `json:"burst"`           // tokens
	Region        string  `json:"region"`          // where its callers are; empty: everywhere
	LoadPerSecond float64 `json:"load_per_second"` // tokens asked for, before peaks
	Short         float64 `json:"short"`           // share of short questions
}

// Fault is what happens during a run.
type Fault struct {
	Kind   string        `json:"kind"` // "", "cut", "half_targets" or "kill_vm"
	Region string        `json:"region"`
	At     time.Duration `json:"-"`
	Until  time.Duration `json:"-"`
}

// Settings describe one run.
type Settings struct {
	Name          string
	Regions       []string
	VMs           int
	Engines       int // in each region
	Capacity      int // of an engine
	PerToken      time.Duration
	PerColdByte   time.Duration
	CacheBytes    int
	LinkDelay     time.Duration
	Duration      time.Duration
	Policy        string
	AwayPenalty   time.Duration
	NoLoans       bool
	Peaks         string // "even", "rotating" or a region that has all the load
	Organisations []Organisation
	Fault         Fault
	Seed          uint64
}

type settingsJSON struct {
	Name          string         `json:"name"`
	Regions       []string       `json:"regions"`
	VMs           int            `json:"vms_per_region"`
	Engines       int            `json:"engines_per_region"`
	Capacity      int            `json:"capacity"`
	PerToken      string         `json:"per_token"`
	PerColdByte   string         `json:"per_cold_byte"`
	CacheBytes    int            `json:"cache_bytes"`
	LinkDelay     string         `json:"link_delay"`
	Duration      string         `json:"duration"`
	Policy        string         `json:"policy"`
	AwayPenalty   string         `json:"away_penalty"`
	NoLoans       bool           `json:"no_loans"`
	Peaks         string         `json:"peaks"`
	Organisations []Organisation `json:"organisations"`
	Fault         struct {
		Kind   string `json:"kind"`
		Region string `json:"region"`
		At     string `json:"at"`
		Until  string `json:"until"`
	} `json:"fault"`
	Seed uint64 `json:"seed"`
}

// Read reads a settings file.
func Read(path string) (s Settings, err error) {
	defer fault.Annotate(&err, "experiment %s", path)
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var file settingsJSON
	if err := decoder.Decode(&file); err != nil {
		return s, err
	}
	s = Settings{
		Name: file.Name, Regions: file.Regions, VMs: file.VMs, Engines: file.Engines, Capacity: file.Capacity,
		CacheBytes: file.CacheBytes, Policy: file.Policy, NoLoans: file.NoLoans, Peaks: file.Peaks,
		Organisations: file.Organisations, Seed: file.Seed, Fault: Fault{Kind: file.Fault.Kind, Region: file.Fault.Region},
	}
	for _, d := range []struct {
		field string
		text  string
		to    *time.Duration
	}{
		{"per_token", file.PerToken, &s.PerToken},
		{"per_cold_byte", file.PerColdByte, &s.PerColdByte},
		{"link_delay", file.LinkDelay, &s.LinkDelay},
		{"duration", file.Duration, &s.Duration},
		{"away_penalty", file.AwayPenalty, &s.AwayPenalty},
		{"fault.at", file.Fault.At, &s.Fault.At},
		{"fault.until", file.Fault.Until, &s.Fault.Until},
	} {
		if d.text == "" {
			continue
		}
		if *d.to, err = time.ParseDuration(d.text); err != nil {
			return s, fmt.Errorf("%s: %q must be a duration", d.field, d.text)
		}
	}
	return s, nil
}
