// Package list implements 'kingcuprill route list', which prints the routes in
// the catalogue.
package list

import (
	"context"
	"fmt"
	"strings"
	"time"

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
		Short:   "List the routes",
		Long:    `List the routes with their settings.`,
		Example: `  kingcuprill route list`,
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
	for _, r := range c.GetRoutes() {
		rows = append(rows, []string{r.GetName(), r.GetKind(), r.GetService(), strings.Join(r.GetModels(), ","), fmt.Sprint(r.GetOpen()), strings.Join(r.GetOrganisations(), ","), fmt.Sprint(r.GetRepeatable()), time.Duration(r.GetDeadlineNanoseconds()).String(), fmt.Sprint(r.GetPriority())})
	}
	return o.Factory.Print([]string{"name", "kind", "service", "models", "open", "organisations", "repeatable", "deadline", "priority"}, rows)
}
