// Package apply implements 'kingcuprill config apply', which replaces the
// organisations, routes and residency rules in one atomic change.
package apply

import (
	"context"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/configfile"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/state"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory  *factory.Factory
	Mutation factory.Mutation
	File     string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "apply",
		Short:   "Apply a whole configuration",
		Long:    `Replace all organisations, routes and residency rules by those of a file, in one change. Keys and VMs stay as they are.`,
		Example: `  kingcuprill config apply festival.json`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.File, "FILE", 1, true, "Configuration file in JSON, as config export writes it.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	config, err := configfile.Read(o.File)
	if err != nil {
		return err
	}
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_ApplyConfig{ApplyConfig: config}}, "configuration "+o.File+" is applied")
}
