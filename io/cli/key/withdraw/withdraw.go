// Package withdraw is the command 'kingcuprill key withdraw'.
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

// Options are the arguments of the command.
type Options struct {
	Factory *factory.Factory
	ID      string
}

// New returns the command. Tests pass a run function of their own.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "withdraw",
		Short:   "Withdraw a key",
		Long:    `Withdraws a key on every VM that can be reached, with or without a majority of the control VMs, and ends its running requests. VMs that can not be reached now take it in when they can.`,
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
