package catalogue

import "time"

// Organisation is a tenant with its limit over the whole fleet.
type Organisation struct {
	Name          string
	RatePerSecond float64 // tokens
	Burst         float64 // tokens
	Weight        float64 // share of a contended queue
	HomeRegion    string
}

// Key is a caller's key. Its secret is kept as a hash only.
type Key struct {
	ID           string
	Organisation string
	SecretHash   string // hexadecimal SHA-256
	Withdrawn    bool
}

// RouteKind tells how a route's requests are carried.
type RouteKind string

// Kinds of routes.
const (
	ModelRoute   RouteKind = "model"
	ServiceRoute RouteKind = "service"
)

// Route leads callers' requests to a service.
type Route struct {
	Name             string
	Kind             RouteKind
	Service          string
	Models           []string
	Open             bool     // needs no key
	Organisations    []string // empty: every organisation with a key
	Repeatable       bool     // a call may run more than once
	Deadline         time.Duration
	Priority         int
	SendOrganisation bool // targets get the organisation's name
}

// Residency restricts where requests may be served. An empty organisation or
// route matches all.
type Residency struct {
	Name         string
	Organisation string
	Route        string
	Regions      []string
}

// VMState is the place of a VM in the two-phase change of the limit shares.
type VMState string

// States of a VM in the catalogue.
const (
	VMJoining VMState = "joining" // counted by others, has no share yet
	VMActive  VMState = "active"
	VMLeaving VMState = "leaving" // has no share, still counted by others
	VMStopped VMState = "stopped" // as leaving; an operator has confirmed that it doesn't run
)

// VM is an entry VM of the system.
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

// Plan is a whole traffic configuration, kept as its operator wrote it. The
// catalogue doesn't look into the document.
type Plan struct {
	Version  uint64
	Document []byte
}

// Evacuation starts or ends the evacuation of a data centre.
type Evacuation struct {
	DataCentre string
	Ended      bool
}

// Change is one mutation of the catalogue. Exactly one field is set.
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
	ConfirmStoppedVM   string // a leaving VM that can't acknowledge any more
	ApplyConfig        *Config
	PutPlan            *Plan
	SetEvacuation      *Evacuation
	SettleVMs          uint64 // VM revision that every VM has acknowledged
}
