// Package remove implements 'kingcuprill vm remove', which removes a VM from
// the set of VMs that share the rate limits.
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
		Name:    "remove",
		Short:   "Remove a VM from the VM set",
		Long:    `Remove a VM from the VM set. Its share of the rate limits is reassigned once every VM of the set has the change in force. If the VM has stopped for good, confirm that with vm confirm-stopped.`,
		Example: `  kingcuprill vm remove kolkata-2`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.ID, "ID", 1, true, "Id of the VM.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_RemoveVm{RemoveVm: o.ID}}, "vm "+o.ID+" is removed")
}
