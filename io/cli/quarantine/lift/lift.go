// Package lift implements 'kingcuprill quarantine lift', which lets requests with a
// prompt part run again.
package lift

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/operator"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *factory.Factory
	Part    string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "lift",
		Short:   "Let requests with a part run again",
		Long:    `Clear a prompt part, or a request, of all crashes of targets, on all VMs. If it still crashes targets, it is refused again after two crashes.`,
		Example: `  kingcuprill quarantine lift 393210487cac`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.Part, "PART", 1, true, "Part as 'kingcuprill quarantine list' prints it.")
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	err := o.Factory.CallQuarantines(func(client operator.Quarantines) error {
		_, err := client.Lift(ctx, &operator.LiftQuarantineRequest{Part: o.Part})
		return err
	})
	if err != nil {
		return fmt.Errorf("%w; see 'kingcuprill quarantine list' for the parts", err)
	}
	fmt.Fprintf(o.Factory.Streams.Out, "part %s is cleared\n", o.Part)
	return nil
}
