// Package plancheck finds what an operator has probably not meant in a plan that a
// control VM would accept: entries that never match, and limits that contradict each
// other. It also lists the differences of two plans. It never names a key.
package plancheck

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"kingcuprill/core/plan"
)

// Class tells what a finding is about.
type Class string

// Classes of findings.
const (
	Refused       Class = "refused"       // a control VM doesn't accept the plan
	NeverMatches  Class = "never_matches" // the entry has no effect on any request
	Contradiction Class = "contradiction" // two limits contradict each other
	Stale         Class = "stale"         // the plan isn't newer than the one in force
	Difference    Class = "difference"    // no fault
)

// Finding is one fault or difference.
type Finding struct {
	Class Class
	Entry string // such as routes.chat
	Field string
	Value string
	Text  string
}

// findings collects the findings of one entry.
type findings struct {
	entry string
	all   []Finding
}

func (f *findings) add(class Class, field string, value any, format string, args ...any) {
	f.all = append(f.all, Finding{Class: class, Entry: f.entry, Field: field, Value: fmt.Sprint(value), Text: fmt.Sprintf(format, args...)})
}

// Check returns the findings of a plan, apart from what plan.Plan itself refuses.
func Check(p plan.Plan) (all []Finding) {
	for _, r := range p.Routes {
		all = append(all, checkRoute(p, r)...)
	}
	for i, s := range p.Services {
		hidden := slices.ContainsFunc(p.Services[i+1:], func(other plan.Service) bool { return other.Name == s.Name })
		all = append(all, checkService(p, s, hidden)...)
	}
	for _, o := range p.Organisations {
		all = append(all, checkOrganisation(p, o)...)
	}
	return all
}

func checkRoute(p plan.Plan, r plan.Route) []Finding {
	f := &findings{entry: "routes." + r.Name}
	f.checkMatch(p, r)
	f.checkTimes(r)
	if r.Kind == 0 {
		return f.all // refused
	}
	if r.Attempts > 1 && !r.MayRepeat() {
		f.add(Contradiction, "attempts", r.Attempts, "requests of kind %v may not be repeated; use 1", describeKind(r))
	}
	if r.Resumable && r.Kind != plan.Stream {
		f.add(Contradiction, "resumable", r.Resumable, "only streams can be resumed, and the kind is %v", r.Kind)
	}
	return f.all
}

func describeKind(r plan.Route) string {
	if r.Kind == plan.Stream {
		return "stream that can't be resumed"
	}
	return r.Kind.String()
}

func (f *findings) checkMatch(p plan.Plan, r plan.Route) {
	if r.Host == "" {
		f.add(NeverMatches, "host", `""`, "requests have a host; name it")
	}
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		f.add(NeverMatches, "host", r.Host, "hosts are compared without a port; leave it out")
	}
	for _, s := range r.Splits {
		if s.Weight == 0 {
			f.add(NeverMatches, "weight", s.Weight, "service %q gets no requests of the route; leave it out or raise the weight", s.Service)
		}
	}
	if r.Open || len(p.Organisations) == 0 {
		return
	}
	if !slices.ContainsFunc(p.Organisations, hasKeys) {
		f.add(NeverMatches, "open", r.Open, "the route needs a key, and no organisation has one")
		return
	}
	if !slices.ContainsFunc(p.Organisations, func(o plan.Organisation) bool { return hasKeys(o) && meet(r.Homes, o.Homes) }) {
		f.add(NeverMatches, "homes", r.Homes, "no organisation with a key has one of these regions among its homes")
	}
}

func hasKeys(o plan.Organisation) bool { return len(o.Keys) > 0 }

// meet reports whether homes have a region in common.
func meet(route, organisation []string) bool {
	regions, everywhere := plan.Regions(route, organisation)
	return everywhere || len(regions) > 0
}

func (f *findings) checkTimes(r plan.Route) {
	if r.Timeout <= 0 {
		return // refused
	}
	if r.Objective > r.Timeout {
		f.add(Contradiction, "objective", r.Objective, "it is above the timeout of %v", r.Timeout)
	}
	if r.MaxGap > r.Timeout {
		f.add(Contradiction, "longest gap", r.MaxGap, "it is above the timeout of %v", r.Timeout)
	}
}

// checkService returns the findings of a service. It is hidden if another one with its name
// follows.
func checkService(p plan.Plan, s plan.Service, hidden bool) []Finding {
	f := &findings{entry: "services." + s.Name}
	users := 0
	for _, r := range p.Routes {
		if slices.ContainsFunc(r.Splits, func(split plan.Split) bool { return split.Service == s.Name && split.Weight > 0 }) {
			users++
		}
	}
	engine := s.Slots > 0 || s.MemoryTokens > 0 || s.EventTokens > 0 || s.Fetches
	switch {
	case hidden:
		f.add(NeverMatches, "name", s.Name, "a service with the same name follows, and only the last one is used")
		return f.all
	case users == 0:
		f.add(NeverMatches, "routes", users, "no route sends requests to the service")
		return f.all
	case engine && s.Slots == 0:
		f.add(Contradiction, "slots", s.Slots, "the service has engines, and routes send requests to it; set how many requests an engine runs at once")
	}
	if engine && s.MemoryTokens == 0 {
		f.add(Contradiction, "memory tokens", s.MemoryTokens, "the service has engines, and routes send requests to it; set the size of an engine's memory")
	}
	return f.all
}

func checkOrganisation(p plan.Plan, o plan.Organisation) []Finding {
	f := &findings{entry: "organisations." + o.Name}
	switch {
	case !hasKeys(o):
		f.add(NeverMatches, "keys", 0, "no request belongs to an organisation without keys")
	case slices.Contains(o.Keys, ""):
		f.add(NeverMatches, "keys", len(o.Keys), "one of the keys is empty")
	case len(p.Routes) > 0 && !slices.ContainsFunc(p.Routes, func(r plan.Route) bool { return meet(r.Homes, o.Homes) }):
		f.add(NeverMatches, "homes", o.Homes, "no route has one of these regions among its homes")
	}
	switch {
	case o.RatePerSecond > 0 && o.Burst == 0:
		f.add(Contradiction, "burst", o.Burst, "no tokens can be saved up, so that each request waits until the one before it is paid for at %v tokens per second", o.RatePerSecond)
	case o.RatePerSecond > 0 && o.Burst < o.PlainTokens:
		f.add(Contradiction, "burst", o.Burst, "it is below the %v tokens that a single request costs if it states none, so that each overdraws the limit", o.PlainTokens)
	}
	return f.all
}

// lists are the parts of a plan that its faults name first.
var lists = []string{"version", "routes", "services", "organisations"}

// Refusals returns one finding for each line of the error with which a plan was refused,
// such as `routes.chat.timeout: 0s must be above 0`.
func Refusals(err error) (all []Finding) {
	if err == nil {
		return nil
	}
	for line := range strings.Lines(err.Error()) {
		line = strings.TrimSuffix(line, "\n")
		path, text, found := strings.Cut(line, ": ")
		if list, _, _ := strings.Cut(path, "."); !found || !slices.Contains(lists, list) {
			path, text = "document", line
		}
		f := Finding{Class: Refused, Entry: path, Text: text}
		if dot := strings.LastIndexByte(path, '.'); strings.Count(path, ".") > 1 {
			f.Entry, f.Field = path[:dot], path[dot+1:]
		}
		f.Entry = strings.ReplaceAll(f.Entry, `"`, "")
		for _, verb := range []string{" must ", " does not "} {
			if value, rest, found := strings.Cut(text, verb); found && value != "it" {
				f.Value, f.Text = value, "it"+verb+rest
			}
		}
		all = append(all, f)
	}
	return all
}
