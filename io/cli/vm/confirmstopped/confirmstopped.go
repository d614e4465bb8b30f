// Package confirmstopped implements 'kingcuprill vm confirm-stopped', which
// records that a removed VM has stopped, so that its share of the rate limits
// can be reassigned without its acknowledgement.
package confirmstopped

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
	ID       string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "confirm-stopped",
		Short:   "Confirm that a removed VM no longer runs",
		Long:    `Confirm that a removed VM no longer runs. Only then can its share of the rate limits be reassigned without its acknowledgement. Make sure that its process has ended: a VM that is only cut off from the network still uses its share.`,
		Example: `  kingcuprill vm confirm-stopped kolkata-2`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.ID, "ID", 1, true, "Id of the VM.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_ConfirmStoppedVm{ConfirmStoppedVm: o.ID}}, "vm "+o.ID+" is confirmed as stopped")
}
