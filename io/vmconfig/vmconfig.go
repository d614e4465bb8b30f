// Package vmconfig reads the settings of the VMs that serve plain HTTP routes:
// JSON with names in snake case. Every fault is reported with its field and
// value.
package vmconfig

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"kingcuprill/core/fault"
	"kingcuprill/core/units"
	"kingcuprill/io/settings"
)

// Config is the checked content of a settings file.
type Config struct {
	ID          string
	Region      string
	DataCentre  string
	PeerAddress string // where other VMs reach this one
	// DialThrough are forwardings on the way to other VMs.
	DialThrough []settings.DialThrough

	CallerAddress    string
	ReadinessAddress string
	ControlAddress   string // for targets and operators
	DirectoryAddress string
	MetricsAddress   string

	Seeds      []string // peer addresses of control VMs
	DataDir    string
	FirstStart bool // the whole system starts for the first time
	Replicas   int  // that vote, once all have joined
	Heartbeat  time.Duration
	Regions    map[string]string // by data centre

	Memory       int64 // bytes that the process may use
	RevokeWithin time.Duration
	Grace        time.Duration // from the signal to stop to the end
	RetryRatio   float64       // retries for each request
	RetrySlack   float64       // further retries of all VMs together
	DirectoryTTL time.Duration
}

type fileJSON struct {
	VM struct {
		ID          string `json:"id"`
		Region      string `json:"region"`
		DataCentre  string `json:"data_centre"`
		PeerAddress string `json:"peer_address"`
		DialThrough []struct {
			Address string `json:"address"`
			Through string `json:"through"`
		} `json:"dial_through"`
	} `json:"vm"`
	Listen struct {
		Callers   string `json:"callers"`
		Readiness string `json:"readiness"`
		Control   string `json:"control"`
		Directory string `json:"directory"`
		Metrics   string `json:"metrics"`
	} `json:"listen"`
	Control struct {
		Seeds       []string `json:"seeds"`
		PeerPort    int      `json:"peer_port"`
		FirstStart  bool     `json:"first_start"`
		DataDir     string   `json:"data_dir"`
		Failures    int      `json:"failures"`
		HeartbeatMS float64  `json:"heartbeat_ms"`
	} `json:"control"`
	Regions map[string]string `json:"regions"`
	Limits  struct {
		MemoryMB      float64 `json:"memory_mb"`
		RevokeMS      float64 `json:"revoke_ms"`
		GraceS        float64 `json:"grace_s"`
		RetryRatio    float64 `json:"retry_ratio"`
		RetrySlack    float64 `json:"retry_slack"`
		DirectoryTTLS float64 `json:"directory_ttl_s"`
	} `json:"limits"`
}

// Load reads and checks a settings file.
func Load(path string) (c Config, err error) {
	defer fault.Annotate(&err, "settings %s", path)
	data, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	return Parse(data)
}

// Parse reads and checks the content of a settings file. Names that are not
// known are ignored, since a newer release may have written them.
func Parse(data []byte) (c Config, err error) {
	var file fileJSON
	if err := json.Unmarshal(data, &file); err != nil {
		return c, fault.New(fault.Invalid, "it is not valid JSON: %v", err)
	}
	c, faults := file.convert()
	if len(faults) > 0 {
		return Config{}, fault.New(fault.Invalid, "%v", errors.Join(faults...))
	}
	return c, nil
}

func (f fileJSON) convert() (c Config, faults []error) {
	const mebibyte = 1 << 20
	c = Config{
		ID: f.VM.ID, Region: f.VM.Region, DataCentre: f.VM.DataCentre, PeerAddress: f.VM.PeerAddress,
		CallerAddress: f.Listen.Callers, ReadinessAddress: f.Listen.Readiness, ControlAddress: f.Listen.Control,
		DirectoryAddress: f.Listen.Directory, MetricsAddress: f.Listen.Metrics,
		DataDir: f.Control.DataDir, FirstStart: f.Control.FirstStart, Replicas: 2*f.Control.Failures + 1,
		Heartbeat: units.Milliseconds(f.Control.HeartbeatMS), Regions: f.Regions, Memory: int64(f.Limits.MemoryMB * mebibyte),
		RevokeWithin: units.Milliseconds(f.Limits.RevokeMS), Grace: units.Milliseconds(f.Limits.GraceS * 1000),
		RetryRatio: f.Limits.RetryRatio, RetrySlack: f.Limits.RetrySlack, DirectoryTTL: units.Milliseconds(f.Limits.DirectoryTTLS * 1000),
	}
	refuse := func(format string, args ...any) {
		faults = append(faults, fault.New(fault.Invalid, format, args...))
	}
	for name, value := range map[string]string{"vm.id": c.ID, "vm.region": c.Region, "vm.data_centre": c.DataCentre, "vm.peer_address": c.PeerAddress} {
		if value == "" {
			refuse("%s: it must be set", name)
		}
	}
	for name, value := range map[string]float64{
		"control.heartbeat_ms": f.Control.HeartbeatMS, "limits.memory_mb": f.Limits.MemoryMB, "limits.revoke_ms": f.Limits.RevokeMS,
		"limits.grace_s": f.Limits.GraceS, "limits.directory_ttl_s": f.Limits.DirectoryTTLS,
	} {
		if value <= 0 {
			refuse("%s: %v must be above 0", name, value)
		}
	}
	if f.Control.Failures < 0 {
		refuse("control.failures: %d must not be below 0", f.Control.Failures)
	}
	for i, seed := range f.Control.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			refuse("control.seeds.%d: %q is not host:port", i, seed)
			continue
		}
		c.Seeds = append(c.Seeds, net.JoinHostPort(host, strconv.Itoa(f.Control.PeerPort)))
	}
	for i, d := range f.VM.DialThrough {
		for name, value := range map[string]string{"address": d.Address, "through": d.Through} {
			if _, _, err := net.SplitHostPort(value); err != nil {
				refuse("vm.dial_through.%d.%s: %q is not host:port", i, name, value)
			}
		}
		c.DialThrough = append(c.DialThrough, settings.DialThrough{Address: d.Address, Through: d.Through})
	}
	if len(f.Control.Seeds) == 0 {
		refuse("control.seeds: at least one is needed")
	}
	return c, faults
}
