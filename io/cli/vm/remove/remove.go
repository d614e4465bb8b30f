// Package remove is the command 'kingcuprill vm remove'.
package remove

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
		Name:    "remove",
		Short:   "Take a VM out of the VM set",
		Long:    `Take a VM out of the VM set. Its limit shares move to others once every VM of the set has the change in force. If the VM is gone for good, confirm that with the command vm confirm-stopped.`,
		Example: `  kingcuprill vm remove kolkata-2`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.Name, "ID", 1, true, "Id of the VM.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_RemoveVm{RemoveVm: o.Name}}, "vm "+o.Name+" is removed")
}
