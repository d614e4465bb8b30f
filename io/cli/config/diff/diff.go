// Package diff implements 'kingcuprill config diff', which prints what applying
// a configuration file would change.
package diff

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/configfile"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/state"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *factory.Factory
	File    string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "diff",
		Short:   "Compare a file with the configuration in force",
		Long:    `Print what config apply would remove (-) and add (+), with one line for each organisation, route and residency rule.`,
		Example: `  kingcuprill config diff festival.json`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.File, "FILE", 1, true, "Configuration file in JSON, as config export writes it.")
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	wanted, err := configfile.Read(o.File)
	if err != nil {
		return err
	}
	c, err := o.Factory.Catalogue(ctx)
	if err != nil {
		return err
	}
	current := &state.Config{Organisations: c.GetOrganisations(), Routes: c.GetRoutes(), Residencies: c.GetResidencies()}
	printDiff(o.Factory.Streams.Out, configLines(current), configLines(wanted))
	return nil
}

// configLines returns one line for each organisation, route and residency rule, sorted.
func configLines(c *state.Config) (all []string) {
	for _, row := range c.GetOrganisations() {
		all = append(all, fmt.Sprintf("organisation %s rate=%v burst=%v weight=%v home=%s",
			row.GetName(), row.GetRatePerSecond(), row.GetBurst(), row.GetWeight(), row.GetHomeRegion()))
	}
	for _, row := range c.GetRoutes() {
		all = append(all, fmt.Sprintf("route %s kind=%s service=%s models=%s open=%t organisations=%s repeatable=%t deadline_nanoseconds=%d priority=%d send_organisation=%t",
			row.GetName(), row.GetKind(), row.GetService(), strings.Join(row.GetModels(), ","), row.GetOpen(),
			strings.Join(row.GetOrganisations(), ","), row.GetRepeatable(), row.GetDeadlineNanoseconds(), row.GetPriority(), row.GetSendOrganisation()))
	}
	for _, row := range c.GetResidencies() {
		all = append(all, fmt.Sprintf("residency %s organisation=%s route=%s regions=%s",
			row.GetName(), row.GetOrganisation(), row.GetRoute(), strings.Join(row.GetRegions(), ",")))
	}
	slices.Sort(all)
	return all
}

func printDiff(w io.Writer, before, after []string) {
	for _, line := range before {
		if !slices.Contains(after, line) {
			fmt.Fprintln(w, "-", line)
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			fmt.Fprintln(w, "+", line)
		}
	}
}
