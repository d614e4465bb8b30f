// Package plan holds the traffic configuration of plain HTTP routes: which
// requests go to which service, for whom, and what may be repeated.
package plan

import (
	"errors"
	"strings"
	"time"

	"kingcuprill/core/fault"
)

// Kind tells what may be repeated on a route.
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

// Split is the part of a route's requests that goes to one service.
type Split struct {
	Service string
	Weight  float64
}

// Route leads the requests of one host below one path prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // from the arrival of a request to its last answer
	Objective time.Duration // to the answer, for streams to the first event
	MaxGap    time.Duration // longest pause between events
	Priority  int           // 0 is the most urgent
	Splits    []Split
	Attempts  int // targets that may run one request
	Open      bool
	Sticky    bool
	Resumable bool
	Homes     []string // regions; empty: everywhere
}

// MayRepeat tells whether a request may be sent again after it may have run.
func (r Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service describes the targets of one service.
type Service struct {
	Name          string
	Connections   int     // that one target takes from all VMs
	ColdPerSecond float64 // requests that a cold target bears
	ColdFor       time.Duration
	Slots         int // requests that an engine runs at once, 0 where it is not told
	MemoryTokens  int // of an engine
	// Fetches tells that targets fetch the memory of prompts from each other.
	Fetches     bool
	EventTokens int // output tokens in one event of a stream, 0 where it is not told
}

// Organisation is a tenant with its keys and its limit over all VMs.
type Organisation struct {
	Name          string
	Keys          []string
	Priority      int
	HasPriority   bool    // the priority goes before the route's
	PlainTokens   float64 // cost of a request that tells no token counts
	RatePerSecond float64 // 0: no limit
	Burst         float64
	Homes         []string
}

// Plan is one version of the configuration.
type Plan struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	MaxHeader     int // bytes
	MaxBody       int64
}

// Validate reports every fault of a plan with its field and value.
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
	taken := map[place]string{}
	for _, r := range p.Routes {
		faults = append(faults, r.faults(known)...)
		at := place{r.Host, r.Prefix}
		if other, found := taken[at]; found {
			faults = append(faults, fault.New(fault.Invalid, "routes.%s: host %q and prefix %q belong to route %q already", r.Name, r.Host, r.Prefix, other))
		}
		taken[at] = r.Name
	}
	return faults
}

func (r Route) faults(services map[string]bool) (faults []error) {
	refuse := func(format string, args ...any) {
		faults = append(faults, fault.New(fault.Invalid, "routes."+r.Name+format, args...))
	}
	total := 0.0
	for _, s := range r.Splits {
		if !services[s.Service] {
			refuse(".service: %q does not exist", s.Service)
		}
		if s.Weight < 0 {
			refuse(".weight: %v must not be below 0", s.Weight)
		}
		total += s.Weight
	}
	if total <= 0 {
		refuse(".weight: the sum %v must be above 0", total)
	}
	if r.Timeout <= 0 {
		refuse(".timeout: %v must be above 0", r.Timeout)
	}
	if r.Kind == 0 {
		refuse(".kind: it must be set")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		refuse(".prefix: %q must begin and end with a slash", r.Prefix)
	}
	return faults
}
