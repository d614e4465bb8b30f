// Package add implements 'kingcuprill replica add', which adds a non-voting
// replica to the control log.
package add

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
		Name:    "add",
		Short:   "Add a replica of the control log as a learner",
		Long:    `Add a replica of the control log as a learner. It receives the log, but counts for a majority only once it is promoted. First make its data folder with 'kingcuprilld --format --join'.`,
		Example: `  kingcuprill replica add kolkata-2`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.VM, "VM", 1, true, "Id of the VM.")
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.ChangeReplicas(ctx, "add", o.VM, "is added as a learner")
}
