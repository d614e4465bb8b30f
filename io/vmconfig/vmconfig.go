// Package vmconfig reads and validates the settings file of the entry and control
// VMs that serve plain HTTP routes: JSON with names in snake case. Unknown fields
// are ignored. All invalid fields are reported together, each with its name and
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

// Config is the validated content of a settings file.
type Config struct {
	ID          string
	Region      string
	DataCentre  string
	PeerAddress string // where other VMs reach this one
	// DialThrough holds the port forwardings through which other VMs are reached.
	DialThrough []settings.DialThrough

	CallerAddress    string
	ReadinessAddress string
	ControlAddress   string // for targets and operators
	DirectoryAddress string
	MetricsAddress   string

	Seeds      []string // peer addresses of control VMs
	DataDir    string
	FirstStart bool              // the cluster starts for the first time
	Replicas   int               // voting replicas, once all have joined
	Heartbeat  time.Duration     // period in which each target sends a heartbeat
	Regions    map[string]string // by data centre

	MemoryBytes  int64         // bytes that the process may use
	RevokeWithin time.Duration // within which the withdrawal of a key takes effect on all entry VMs
	// NewestWithin is the time after a change of the configuration in which requests may
	// still run by the one before it.
	NewestWithin time.Duration
	Grace        time.Duration // from the signal to stop until the process must have ended
	RetryRatio   float64       // retries for each request
	RetrySlack   float64       // retries beyond RetryRatio, of all entry VMs together
	DirectoryTTL time.Duration // how long callers may cache a directory answer
	// ByRank says that requests to engines are placed by their priority.
	ByRank bool
	// LinkRate is the rate of the VM's network link in bytes per second in each direction; 0
	// takes it as unlimited.
	LinkRate float64
	// SaveCalls says that coordinators are asked less and get fewer reports.
	SaveCalls bool
	// SpreadCallers says that callers of a region with full links are sent to another one, too.
	SpreadCallers bool
	// ByRegion says that requests leave a busy region before it is full.
	ByRegion bool
}

// defaultNewestWithin is NewestWithin where the settings don't say.
const defaultNewestWithin = 3 * time.Second

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
	Regions   map[string]string `json:"regions"`
	Placement struct {
		ByRank   bool `json:"by_rank"`
		ByRegion bool `json:"by_region"`
		// SaveCalls concerns the calls to coordinators.
		SaveCalls bool `json:"save_calls"`
		// SpreadCallers concerns the directory's answers.
		SpreadCallers bool `json:"spread_callers"`
	} `json:"placement"`
	Limits struct {
		MemoryMB      float64 `json:"memory_mb"`
		RevokeMS      float64 `json:"revoke_ms"`
		NewestMS      float64 `json:"newest_ms"`
		GraceS        float64 `json:"grace_s"`
		RetryRatio    float64 `json:"retry_ratio"`
		RetrySlack    float64 `json:"retry_slack"`
		DirectoryTTLS float64 `json:"directory_ttl_s"`
		LinkMbps      float64 `json:"link_mbps"`
	} `json:"limits"`
}

// Load reads and validates a settings file. The error names all invalid fields.
func Load(path string) (c Config, err error) {
	defer fault.Annotate(&err, "settings %s", path)
	data, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	return Parse(data)
}

// Parse validates the content of a settings file. Unknown fields are ignored, since
// the file may be written for a newer release. The error names all invalid fields.
func Parse(data []byte) (c Config, err error) {
	var file fileJSON
	if err := json.Unmarshal(data, &file); err != nil {
		return c, fault.New(fault.Invalid, "it is not valid JSON: %v", err)
	}
	c, errs := file.convert()
	if len(errs) > 0 {
		return Config{}, fault.New(fault.Invalid, "%v", errors.Join(errs...))
	}
	return c, nil
}

func (f fileJSON) convert() (c Config, errs []error) {
	const mebibyte = 1 << 20
	const bytesPerMegabit = 1_000_000 / 8
	c = Config{
		ID: f.VM.ID, Region: f.VM.Region, DataCentre: f.VM.DataCentre, PeerAddress: f.VM.PeerAddress,
		CallerAddress: f.Listen.Callers, ReadinessAddress: f.Listen.Readiness, ControlAddress: f.Listen.Control,
		DirectoryAddress: f.Listen.Directory, MetricsAddress: f.Listen.Metrics,
		DataDir: f.Control.DataDir, FirstStart: f.Control.FirstStart, Replicas: 2*f.Control.Failures + 1,
		Heartbeat: units.Milliseconds(f.Control.HeartbeatMS), Regions: f.Regions, MemoryBytes: int64(f.Limits.MemoryMB * mebibyte),
		RevokeWithin: units.Milliseconds(f.Limits.RevokeMS), NewestWithin: units.Milliseconds(f.Limits.NewestMS), Grace: units.Milliseconds(f.Limits.GraceS * 1000),
		RetryRatio: f.Limits.RetryRatio, RetrySlack: f.Limits.RetrySlack, DirectoryTTL: units.Milliseconds(f.Limits.DirectoryTTLS * 1000),
		ByRank: f.Placement.ByRank, ByRegion: f.Placement.ByRegion, SpreadCallers: f.Placement.SpreadCallers, SaveCalls: f.Placement.SaveCalls, LinkRate: f.Limits.LinkMbps * bytesPerMegabit,
	}
	reject := func(format string, args ...any) {
		errs = append(errs, fault.New(fault.Invalid, format, args...))
	}
	for name, value := range map[string]string{"vm.id": c.ID, "vm.region": c.Region, "vm.data_centre": c.DataCentre, "vm.peer_address": c.PeerAddress} {
		if value == "" {
			reject("%s: it must be set", name)
		}
	}
	for name, value := range map[string]float64{
		"control.heartbeat_ms": f.Control.HeartbeatMS, "limits.memory_mb": f.Limits.MemoryMB, "limits.revoke_ms": f.Limits.RevokeMS,
		"limits.grace_s": f.Limits.GraceS, "limits.directory_ttl_s": f.Limits.DirectoryTTLS,
	} {
		if value <= 0 {
			reject("%s: %v must be above 0", name, value)
		}
	}
	if c.LinkRate < 0 {
		reject("limits.link_mbps: %v must not be below 0", f.Limits.LinkMbps)
	}
	if c.NewestWithin < 0 {
		reject("limits.newest_ms: %v must not be below 0", f.Limits.NewestMS)
	}
	if c.NewestWithin == 0 {
		c.NewestWithin = defaultNewestWithin
	}
	if f.Control.Failures < 0 {
		reject("control.failures: %d must not be below 0", f.Control.Failures)
	}
	for i, seed := range f.Control.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			reject("control.seeds.%d: %q is not host:port", i, seed)
			continue
		}
		c.Seeds = append(c.Seeds, net.JoinHostPort(host, strconv.Itoa(f.Control.PeerPort)))
	}
	for i, d := range f.VM.DialThrough {
		for name, value := range map[string]string{"address": d.Address, "through": d.Through} {
			if _, _, err := net.SplitHostPort(value); err != nil {
				reject("vm.dial_through.%d.%s: %q is not host:port", i, name, value)
			}
		}
		c.DialThrough = append(c.DialThrough, settings.DialThrough{Address: d.Address, Through: d.Through})
	}
	if len(f.Control.Seeds) == 0 {
		reject("control.seeds: at least one is needed")
	}
	return c, errs
}
