// Package settings reads the settings file of a daemon: JSON with names in
// snake case. Every fault is reported at once, with its field and value.
package settings

import (
	"net/netip"
	"time"

	"kingcuprill/core/route"
)

// Settings is the checked content of a settings file.
type Settings struct {
	Cluster  Cluster
	VM       VM
	Seeds    []string // peer addresses of other VMs
	Control  Control
	Targets  Targets
	Limits   Limits
	Timeouts Timeouts
	Policy   Policy
	LogLevel string
}

// Cluster names the system that the VM belongs to, and its secrets.
type Cluster struct {
	ID            string
	Secret        []byte // shared by the VMs
	OperatorToken string
}

// VM is the place of this VM.
type VM struct {
	ID              string
	Region          string
	DataCentre      string
	PeerAddress     string // where other VMs reach this one
	CallerAddress   string
	TargetAddress   string
	OperatorAddress string
	DialThrough     []DialThrough
}

// DialThrough is a forwarding: to reach Address, dial Through.
type DialThrough struct {
	Address string
	Through string
}

// Control holds the settings of a replica of the control log. An empty data
// folder path means that this VM has none.
type Control struct {
	DataDir  string
	Replicas []string // VM ids of the first replicas of the cluster
	Tick     time.Duration
}

// Targets bounds what targets may announce.
type Targets struct {
	PermittedNetworks []netip.Prefix
	Lease             time.Duration
}

// Limits bounds what callers may use.
type Limits struct {
	MaxBodyBytes   int64
	MaxAnswerBytes int64
	MaxHeaderBytes int
	MaxConnections int
	MaxTokens      int
	QueueWait      time.Duration
	Loans          bool // false: each VM keeps to its base share
	MaxConcurrent  int
}

// Timeouts bounds every wait.
type Timeouts struct {
	ReadHeader time.Duration
	Dial       time.Duration
	Peer       time.Duration // one call between VMs
	FirstToken time.Duration
	Silence    time.Duration // without a byte, after which a connection is probed
	Drain      time.Duration // during which a VM that stops still takes requests
	Shutdown   time.Duration
	Commit     time.Duration // one change of the control log
}

// Policy chooses where requests run.
type Policy struct {
	Name    string // "predicted", "round_robin", "least_loaded" or "always_local"
	Weights route.Weights
}
