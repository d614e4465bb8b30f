// Package confirmstopped is the command 'kingcuprill vm confirm-stopped'.
package confirmstopped

import (
	"context"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/state"
)

// Options are the arguments of the command.
type Options struct {
	Factory  *factory.Factory
	Mutation factory.Mutation
	Name     string
}

// New returns the command. Tests pass a run function of their own.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "confirm-stopped",
		Short:   "Confirm that a removed VM does not run any more",
		Long:    `Confirm that a removed VM does not run any more. Only then can its limit shares move without its acknowledgement. Be sure that its process has ended: a VM that is merely cut off still uses its shares.`,
		Example: `  kingcuprill vm confirm-stopped kolkata-2`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.Name, "ID", 1, true, "Id of the VM.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_ConfirmStoppedVm{ConfirmStoppedVm: o.Name}}, "vm "+o.Name+" is confirmed as stopped")
}
