// Package remove implements 'kingcuprill replica remove', which removes a voter
// or learner from the control log.
package remove

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
		Name:    "remove",
		Short:   "Remove a replica of the control log",
		Long:    `Remove a replica of the control log. Remove a lost replica before its replacement is added.`,
		Example: `  kingcuprill replica remove kolkata-1`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.VM, "VM", 1, true, "Id of the VM.")
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.ChangeReplicas(ctx, "remove", o.VM, "is removed")
}
