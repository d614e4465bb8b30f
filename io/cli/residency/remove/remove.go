// Package remove implements 'kingcuprill residency remove', which deletes a
// residency rule from the catalogue.
package remove

import (
	"context"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/state"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory  *factory.Factory
	Mutation factory.Mutation
	Name     string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "remove",
		Short:   "Remove a residency rule",
		Long:    `Remove a residency rule.`,
		Example: `  kingcuprill residency remove bengal-only`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.Name, "NAME", 1, true, "Name of the rule.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_RemoveResidency{RemoveResidency: o.Name}}, "residency "+o.Name+" is removed")
}
