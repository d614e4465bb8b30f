// Package set is the command 'kingcuprill residency set'.
package set

import (
	"context"
	"strings"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/state"
)

// Options are the arguments of the command.
type Options struct {
	Factory      *factory.Factory
	Mutation     factory.Mutation
	Name         string
	Organisation string
	Route        string
	Regions      string
}

// New returns the command. Tests pass a run function of their own.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "set",
		Short:   "Create or change a residency rule",
		Long:    `Creates a residency rule, or replaces it. A request may be served where every rule that matches it allows.`,
		Example: `  kingcuprill residency set bengal-only --organisation puja-lights --regions kolkata,siliguri`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.Name, "NAME", 1, true, "Name of the rule.")
			sub.String(&o.Organisation, "o", "organisation", "Organisation that the rule is for (default: all).")
			sub.String(&o.Route, "r", "route", "Route that the rule is for (default: all).")
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
