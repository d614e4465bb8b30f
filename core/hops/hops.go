// Package hops prevents forwarding loops. A request carries the IDs of the VMs that
// it has passed, and may be forwarded from one VM to another only once.
package hops

import (
	"slices"
	"strings"

	"kingcuprill/core/fault"
)

// MaxForwards is how often a request may be forwarded from one VM to another.
const MaxForwards = 1

// Path is the list of VMs that a request has passed, the entry VM first.
type Path struct {
	VMs []string
}

// ParsePath parses the header form of a path: VM IDs separated by commas.
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

// Arrive returns the path extended by the VM that has received the request. The
// error is fault.Loop if the request has passed this VM before or was forwarded
// too often.
func (p Path) Arrive(vm string) (next Path, err error) {
	if slices.Contains(p.VMs, vm) {
		return p, fault.New(fault.Loop, "the request has passed VM %q before (path %s)", vm, p)
	}
	if len(p.VMs) > MaxForwards {
		return p, fault.New(fault.Loop, "the request has been forwarded between VMs %d times already (path %s)", len(p.VMs)-1, p)
	}
	return Path{VMs: append(slices.Clone(p.VMs), vm)}, nil
}

// MayForward reports whether the request may still be forwarded to another VM.
func (p Path) MayForward() bool {
	return len(p.VMs) <= MaxForwards
}
