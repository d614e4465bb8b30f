// Package list implements 'kingcuprill key list', which prints the API keys of
// callers.
package list

import (
	"context"
	"strconv"

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
		Short:   "List the keys",
		Long:    `List the keys with their organisations, and whether they are withdrawn.`,
		Example: `  kingcuprill key list`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			f.JSONFlag(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	c, err := o.Factory.Catalogue(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{}
	for _, r := range c.GetKeys() {
		rows = append(rows, []string{r.GetId(), r.GetOrganisation(), strconv.FormatBool(r.GetWithdrawn())})
	}
	return o.Factory.Print([]string{"id", "organisation", "withdrawn"}, rows)
}
