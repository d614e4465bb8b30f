// Package list implements 'kingcuprill residency list', which prints the
// residency rules.
package list

import (
	"context"
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
		Short:   "List the residency rules",
		Long:    `List the residency rules, each with its organisation, route and permitted regions.`,
		Example: `  kingcuprill residency list`,
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
	for _, r := range c.GetResidencies() {
		rows = append(rows, []string{r.GetName(), r.GetOrganisation(), r.GetRoute(), strings.Join(r.GetRegions(), ",")})
	}
	return o.Factory.Print([]string{"name", "organisation", "route", "regions"}, rows)
}
