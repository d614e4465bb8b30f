// Package list implements 'kingcuprill organisation list', which prints the
// organisations and their limits.
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
		Short:   "List the organisations",
		Long:    `List the organisations with their rate limits, weights and home regions.`,
		Example: `  kingcuprill organisation list --json name,burst`,
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
	for _, r := range c.GetOrganisations() {
		rows = append(rows, []string{r.GetName(), fmt.Sprint(r.GetRatePerSecond()), fmt.Sprint(r.GetBurst()), fmt.Sprint(r.GetWeight()), r.GetHomeRegion()})
	}
	return o.Factory.Print([]string{"name", "rate_per_second", "burst", "weight", "home_region"}, rows)
}
