// Package hops keeps requests from looping between VMs. A request carries the
// VMs it has passed and may cross from one VM to another once.
package hops

import (
	"slices"
	"strings"

	"kingcuprill/core/fault"
)

// MaxCrossings is how often a request may go from one VM to another.
const MaxCrossings = 1

// Path is the list of VMs that a request has passed, the entry VM first.
type Path struct {
	VMs []string
}

// ParsePath reads a path from its header form, ids separated by commas.
func ParsePath(header string) Path {
	if header == "" {
		return Path{}
	}
	return Path{VMs: strings.Split(header, ",")}
}

// String returns the header form.
func (p Path) String() string {
	return strings.Join(p.VMs, ",")
}

// Arrive returns the path with the VM that a request has come to. It refuses a
// VM that was passed before, and a crossing too many.
func (p Path) Arrive(vm string) (next Path, err error) {
	if slices.Contains(p.VMs, vm) {
		return p, fault.New(fault.Loop, "the request has passed VM %q before (path %s)", vm, p)
	}
	if len(p.VMs) > MaxCrossings {
		return p, fault.New(fault.Loop, "the request has crossed between VMs %d times already (path %s)", len(p.VMs)-1, p)
	}
	return Path{VMs: append(slices.Clone(p.VMs), vm)}, nil
}

// MayCross tells whether the request may still go to another VM.
func (p Path) MayCross() bool {
	return len(p.VMs) <= MaxCrossings
}
