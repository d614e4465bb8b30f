// Package list implements 'kingcuprill vm list', which prints the VMs with
// their membership state and catalogue revision.
package list

import (
	"context"
	"fmt"

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
		Short:   "List the VMs",
		Long:    `List the VMs with their state, the revision of the catalogue that each has in force, and their state in the VM set, whose members share the rate limits.`,
		Example: `  kingcuprill vm list --json id,state,revision`,
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
	for _, r := range answer.GetVms() {
		rows = append(rows, []string{r.GetId(), r.GetRegion(), r.GetDataCentre(), r.GetState(), fmt.Sprint(r.GetRevision()), r.GetShareState()})
	}
	return o.Factory.Print([]string{"id", "region", "data_centre", "state", "revision", "share_state"}, rows)
}
