// Package withdraw implements 'kingcuprill key withdraw', which revokes a
// caller's API key. It works without a majority of the control VMs.
package withdraw

import (
	"context"
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/operator"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *factory.Factory
	ID      string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "withdraw",
		Short:   "Withdraw a key",
		Long:    `Withdraw a key on every VM that can be reached, with or without a majority of the control VMs, and end its running requests. The other VMs withdraw it as soon as they can be reached.`,
		Example: `  kingcuprill key withdraw puja-lights-web`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.ID, "ID", 1, true, "Id of the key.")
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	var answer *operator.WithdrawKeyResponse
	err := o.Factory.Call(func(client operator.Operator) (err error) {
		answer, err = client.WithdrawKey(ctx, &operator.WithdrawKeyRequest{KeyId: o.ID})
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Factory.Streams.Out, "key %s is withdrawn on %d VMs\n", o.ID, len(answer.GetReachedVms()))
	if !answer.GetCommitted() {
		fmt.Fprintln(o.Factory.Streams.Err, "it is not in the control log yet, since no majority of the control VMs answered; it comes there when one does")
	}
	if len(answer.GetUnreachedVms()) > 0 {
		fmt.Fprintf(o.Factory.Streams.Err, "these VMs did not answer and may take the key until they do: %s\n", strings.Join(answer.GetUnreachedVms(), ", "))
	}
	return nil
}
