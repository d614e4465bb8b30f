// Package plan holds the traffic configuration of HTTP routes: which requests
// go to which service, which organisations may send them and at what rate, in
// which regions they may run, and which may be retried. A plan is replaced as a
// whole; an Index finds its parts for the request path. Rates and bursts are in
// tokens unless stated otherwise.
//
// Package catalogue keeps the newest plan. It also has routes and organisations of
// its own, which operators change one by one.
package plan

import (
	"errors"
	"slices"
	"strings"
	"time"

	"kingcuprill/core/fault"
)

// Kind tells whether requests of a route may be retried.
type Kind uint8

// Kinds of routes.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // runs at most once for each request
	Stream                        // an event stream; runs at most once unless it can be resumed
)

// String returns the kind in lower case.
func (k Kind) String() string {
	return [...]string{"unknown", "idempotent", "non_idempotent", "stream"}[k]
}

// Split sends a share of a route's requests to one service. The share is the
// weight divided by the sum of the route's weights.
type Split struct {
	Service string
	Weight  float64
}

// Route sends the requests for one host and path prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // from the arrival of a request to its last answer
	Objective time.Duration // to the answer, for streams to the first event
	MaxGap    time.Duration // objective for the pause between events of a stream
	Priority  int           // 0 is the most urgent
	Splits    []Split
	Attempts  int      // most targets that may run one request
	Open      bool     // needs no key
	Sticky    bool     // requests with the same prompt prefix prefer the same target
	Resumable bool     // a stream can go on after its last event at another target
	Homes     []string // regions where requests may run; empty: all
}

// MayRepeat reports whether a request may be retried after an attempt that may
// have run.
func (r Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// LeadsTo reports whether requests of the route may go to a service.
func (r Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service })
}

// Service describes the targets of one service.
type Service struct {
	Name          string
	Connections   int           // most connections that one target accepts from all VMs
	ColdPerSecond float64       // most requests per second to a cold target
	ColdDuration  time.Duration // from a target's start, until it counts as warm
	Slots         int           // requests that an engine runs at once, 0 if not configured
	MemoryTokens  int           // size of an engine's KV memory
	// Fetches tells that targets can fetch the KV memory of prompts from each other.
	Fetches     bool
	EventTokens int // output tokens in one event of a stream, 0 if not configured
}

// Organisation owns keys and has a rate limit over all VMs.
type Organisation struct {
	Name          string
	Keys          []string
	Priority      int
	HasPriority   bool     // Priority overrides the route's
	PlainTokens   float64  // cost of a request that states no token counts
	RatePerSecond float64  // 0: no limit
	Burst         float64  // most tokens that can be saved up
	Homes         []string // regions where requests may run; empty: all
}

// Plan is one version of the configuration.
type Plan struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	MaxHeader     int   // bytes
	MaxBody       int64 // bytes
}

// Validate returns one fault.Invalid error that lists every wrong field with its
// value, or nil.
func (p Plan) Validate() error {
	faults := p.routeFaults()
	owner := map[string]string{}
	for _, o := range p.Organisations {
		for _, key := range o.Keys {
			if other, taken := owner[key]; taken && other != o.Name {
				faults = append(faults, fault.New(fault.Invalid, "organisations: %q and %q share a key", other, o.Name))
			}
			owner[key] = o.Name
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return fault.New(fault.Invalid, "%s", errors.Join(faults...))
}

func (p Plan) routeFaults() (faults []error) {
	known := map[string]bool{}
	for _, s := range p.Services {
		known[s.Name] = true
	}
	taken := map[routeKey]string{}
	for _, r := range p.Routes {
		faults = append(faults, r.faults(known)...)
		key := routeKey{r.Host, r.Prefix}
		if other, found := taken[key]; found {
			faults = append(faults, fault.New(fault.Invalid, "routes.%s: host %q and prefix %q belong to route %q already", r.Name, r.Host, r.Prefix, other))
		}
		taken[key] = r.Name
	}
	return faults
}

func (r Route) faults(services map[string]bool) (faults []error) {
	addFault := func(format string, args ...any) {
		faults = append(faults, fault.New(fault.Invalid, "routes."+r.Name+format, args...))
	}
	total := 0.0
	for _, s := range r.Splits {
		if !services[s.Service] {
			addFault(".service: %q does not exist", s.Service)
		}
		if s.Weight < 0 {
			addFault(".weight: %v must not be below 0", s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		addFault(".weight: the sum %v must be above 0", total)
	}
	if r.Timeout <= 0 {
		addFault(".timeout: %v must be above 0", r.Timeout)
	}
	if r.Kind == 0 {
		addFault(".kind: it must be set")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		addFault(".prefix: %q must begin and end with a slash", r.Prefix)
	}
	return faults
}
