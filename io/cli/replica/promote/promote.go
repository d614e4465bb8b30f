// Package promote implements 'kingcuprill replica promote', which makes a
// learner of the control log a voter.
package promote

import (
	"context"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *factory.Factory
	VM      string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "promote",
		Short:   "Make a learner a voter",
		Long:    `Make a learner that has caught up a voter, which counts for a majority.`,
		Example: `  kingcuprill replica promote kolkata-2`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.VM, "VM", 1, true, "Id of the VM.")
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.ChangeReplicas(ctx, "promote", o.VM, "counts for a majority")
}
