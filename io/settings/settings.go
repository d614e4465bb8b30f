// Package settings reads and validates the settings file of the daemon
// kingcuprilld: JSON with names in snake case and durations as Go writes them
// ("2s"). An unknown field is an error. All invalid fields are reported together,
// each with its name and value.
package settings

import (
	"net/netip"
	"time"

	"kingcuprill/core/route"
)

// Settings is the validated content of a settings file, with defaults filled in.
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

// Cluster identifies the cluster that the VM belongs to and holds its secrets.
type Cluster struct {
	ID            string
	Secret        []byte // shared by all VMs of the cluster
	OperatorToken string // that operators' calls must carry
}

// VM holds the id, the location and the addresses (IP:port) of this VM.
type VM struct {
	ID              string
	Region          string
	DataCentre      string
	PeerAddress     string // where other VMs reach this one
	CallerAddress   string // where callers send requests
	TargetAddress   string // where targets announce themselves
	OperatorAddress string
	DialThrough     []DialThrough
}

// DialThrough is a port forwarding: to reach Address, dial Through.
type DialThrough struct {
	Address string
	Through string
}

// Control holds the settings of a replica of the control log.
type Control struct {
	DataDir  string        // empty on a VM without a replica
	Replicas []string      // ids of the VMs that hold the first replicas of the cluster
	Tick     time.Duration // in which the replica counts its election and heartbeat timeouts
}

// Targets restricts the announcements of targets.
type Targets struct {
	PermittedNetworks []netip.Prefix // in which their addresses must be
	Lease             time.Duration  // time after an announcement in which a target may be used
}

// Limits bounds the resources that callers may use at this VM.
type Limits struct {
	MaxBodyBytes    int64
	MaxBodiesBytes  int64 // that the bodies of all requests take together
	MaxAnswerBytes  int64
	MaxAnswersBytes int64 // that all answers take together
	MaxHeaderBytes  int
	MaxConnections  int           // for each listener
	MaxTokens       int           // that one request may ask for
	QueueWait       time.Duration // longest wait for the organisation's rate limit
	Loans           bool          // VMs lend parts of an organisation's limit; false: each VM keeps to its base share
	MaxConcurrent   int           // requests
}

// Timeouts bounds the waits of the VM.
type Timeouts struct {
	ReadHeader time.Duration // until the header of a request is read
	Dial       time.Duration
	Peer       time.Duration // one call between VMs
	FirstToken time.Duration // until another engine is asked beside one that has sent no token
	Silence    time.Duration // without an event from an engine, after which the engine is asked for its progress
	Drain      time.Duration // in which a VM that stops still accepts requests
	Shutdown   time.Duration // a planned stop as a whole, Drain included
	Commit     time.Duration // one change of the control log
}

// Policy selects the algorithm that chooses a target for each request.
type Policy struct {
	Name    string // "predicted", "round_robin", "least_loaded" or "always_local"
	Weights route.Weights
}
