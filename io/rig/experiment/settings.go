// Package experiment measures the gateway under load on daemon processes with
// fake engines. A settings file with a seed defines one run: the deployment, the
// load of each organisation and a fault. The result holds latencies, cost, and
// how closely the rate limits were kept.
//
// The seed fixes the random choices of the load; timings still differ from run
// to run.
package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"kingcuprill/core/fault"
)

// Organisation is the rate limit and the load of one organisation.
type Organisation struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"` // tokens per second
	Burst         float64 `json:"burst"`           // tokens
	Region        string  `json:"region"`          // where its callers are; empty: in all regions
	LoadPerSecond float64 `json:"load_per_second"` // tokens requested per second, before Peaks applies
	Short         float64 `json:"short"`           // share of short prompts, 0 to 1
}

// Fault is a fault that is injected during a run. "cut" silences all links of
// the region, "half_targets" crashes half of its engines for good, "kill_vm"
// kills its second VM.
type Fault struct {
	Kind   string        `json:"kind"` // "", "cut", "half_targets" or "kill_vm"
	Region string        `json:"region"`
	At     time.Duration `json:"-"` // since the start of the load
	Until  time.Duration `json:"-"` // when a cut ends or the VM is started again
}

// Settings configure one run.
type Settings struct {
	Name          string
	Regions       []string
	VMs           int // in each region
	Engines       int // in each region
	Capacity      int // requests at the same time, of an engine
	PerToken      time.Duration
	PerColdByte   time.Duration
	CacheBytes    int           // prefix cache of an engine
	LinkDelay     time.Duration // one way, between regions
	Duration      time.Duration // of the load
	Policy        string        // name of the placement policy
	AwayPenalty   time.Duration
	NoLoans       bool
	Peaks         string // "even" (also if empty), "rotating", or the region that has all the load
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

// Read reads a settings file. It fails on unknown fields and on durations that
// don't parse.
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
