package catalogue

import "time"

// Organisation owns keys and has a rate limit over all VMs.
type Organisation struct {
	Name          string
	RatePerSecond float64 // tokens per second
	Burst         float64 // tokens
	Weight        float64 // relative share of a contended queue
	HomeRegion    string  // stored for operators; routing does not use it
}

// Key is a caller's API key. Only the hash of its secret is stored.
type Key struct {
	ID           string
	Organisation string
	SecretHash   string // hexadecimal SHA-256
	Withdrawn    bool
}

// RouteKind is the protocol of a route's requests.
type RouteKind string

// Kinds of routes.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Route sends callers' requests to a service.
type Route struct {
	Name             string
	Kind             RouteKind
	Service          string
	Models           []string
	Open             bool     // needs no key
	Organisations    []string // empty: every organisation with a key
	Repeatable       bool     // requests are idempotent and may be retried
	Deadline         time.Duration
	Priority         int
	SendOrganisation bool // the organisation's name is sent to targets
}

// Residency is a rule that restricts requests to regions. An empty organisation
// or route matches all.
type Residency struct {
	Name         string
	Organisation string
	Route        string
	Regions      []string
}

// VMState is the state of a VM in the two-phase change of the VM set, which
// reassigns the shares of the rate limits.
type VMState string

// States of a VM in the catalogue.
const (
	VMJoining VMState = "joining" // has no limit share yet, but already lowers those of others
	VMActive  VMState = "active"
	VMLeaving VMState = "leaving" // has no limit share any more, but still lowers those of others
	VMStopped VMState = "stopped" // like leaving; an operator has confirmed that it doesn't run
)

// VM is a member of the configured set of VMs that take callers' requests.
type VM struct {
	ID            string
	Region        string
	DataCentre    string
	PeerAddress   string
	CallerAddress string
	State         VMState
}

// Config is a whole configuration: it replaces the organisations, routes and
// residency rules together.
type Config struct {
	Organisations []Organisation
	Routes        []Route
	Residencies   []Residency
}

// Plan is a version of the traffic configuration. The document is stored as the
// operator wrote it and isn't parsed here.
type Plan struct {
	Version  uint64
	Document []byte
}

// Evacuation starts or ends the evacuation of a data centre.
type Evacuation struct {
	DataCentre string
	Ended      bool
}

// Change is one mutation of the catalogue. Exactly one field must be set.
type Change struct {
	PutOrganisation    *Organisation
	RemoveOrganisation string
	GrantKey           *Key
	WithdrawKey        string
	PutRoute           *Route
	RemoveRoute        string
	PutResidency       *Residency
	RemoveResidency    string
	PutVM              *VM
	RemoveVM           string
	ConfirmStoppedVM   string // id of a leaving VM that can't acknowledge any more
	ApplyConfig        *Config
	PutPlan            *Plan
	SetEvacuation      *Evacuation
	SettleVMs          uint64 // VM revision that every VM has acknowledged
}
