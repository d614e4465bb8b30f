// Package set implements 'kingcuprill residency set', which creates or replaces
// a residency rule. A rule restricts the regions that may serve requests.
package set

import (
	"context"
	"strings"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/state"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory      *factory.Factory
	Mutation     factory.Mutation
	Name         string
	Organisation string
	Route        string
	Regions      string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "set",
		Short:   "Create or change a residency rule",
		Long:    `Create a residency rule, or replace it. A request may be served only in regions that every matching rule permits.`,
		Example: `  kingcuprill residency set bengal-only --organisation puja-lights --regions kolkata,siliguri`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.Name, "NAME", 1, true, "Name of the rule.")
			sub.String(&o.Organisation, "o", "organisation", "Organisation that the rule applies to (default: all).")
			sub.String(&o.Route, "r", "route", "Route that the rule applies to (default: all).")
			sub.String(&o.Regions, "", "regions", "Regions where requests may be served, separated by commas.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_PutResidency{PutResidency: &state.Residency{
		Name: o.Name, Organisation: o.Organisation, Route: o.Route, Regions: strings.Split(o.Regions, ","),
	}}}, "residency rule "+o.Name+" is set")
}
