// Package export implements 'kingcuprill config export', which prints the
// configuration in force as JSON.
package export

import (
	"context"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/configfile"
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
		Name:    "export",
		Short:   "Write the configuration in force",
		Long:    `Write the configuration in force to standard output, in the form that config apply reads.`,
		Example: `  kingcuprill config export > now.json`,
		Flags:   func(sub *flaggy.Subcommand) { f.Flags(sub) },
		Run:     func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	c, err := o.Factory.Catalogue(ctx)
	if err != nil {
		return err
	}
	data, err := configfile.Format(c)
	if err != nil {
		return err
	}
	_, err = o.Factory.Streams.Out.Write(data)
	return err
}
