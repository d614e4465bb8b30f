// Package list implements 'kingcuprill quarantine list', which prints what one VM
// keeps away from targets since it crashes them.
package list

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/operator"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *factory.Factory
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "list",
		Short:   "List prompt parts and requests that crash targets",
		Long:    `List the prompt parts and the requests that the VM that answers refuses, or runs one at a time, since targets crashed that were about to answer them. A VM of the platform answers at the address of its metrics, without a token.`,
		Example: `  kingcuprill quarantine list`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			f.JSONFlag(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	var answer *operator.ListQuarantinesResponse
	err := o.Factory.CallQuarantines(func(client operator.Quarantines) (err error) {
		answer, err = client.List(ctx, &operator.ListQuarantinesRequest{})
		return err
	})
	if err != nil {
		return err
	}
	rows := [][]string{}
	for _, q := range answer.GetQuarantines() {
		state := "suspect"
		if q.GetRefused() {
			state = "refused"
		}
		left := time.Duration(q.GetLeftNanoseconds()).Round(time.Second)
		rows = append(rows, []string{
			q.GetService(), strings.Join(q.GetParts(), ","), state, fmt.Sprint(q.GetCrashes()), strings.Join(q.GetOrganisations(), ","), left.String(),
		})
	}
	return o.Factory.Print([]string{"service", "parts", "state", "crashes", "organisations", "left"}, rows)
}
