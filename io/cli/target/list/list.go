// Package list implements 'kingcuprill target list', which prints the targets
// that have announced themselves to one VM.
package list

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
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
		Short:   "List the targets of a data centre",
		Long:    `List the targets that have announced themselves to the VM that answers. To choose the VM, name it alone in --vms.`,
		Example: `  kingcuprill target list`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			f.JSONFlag(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	answer, err := o.Factory.Status(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{}
	for _, r := range answer.GetTargets() {
		rows = append(rows, []string{
			r.GetId(), r.GetService(), r.GetDataCentre(), r.GetAddress(), strings.Join(r.GetModels(), ","),
			fmt.Sprint(r.GetCapacity()), fmt.Sprint(r.GetInFlight()), strconv.FormatBool(r.GetLeaving()), r.GetCircuit(),
		})
	}
	return o.Factory.Print([]string{"id", "service", "data_centre", "address", "models", "capacity", "in_flight", "leaving", "circuit"}, rows)
}
