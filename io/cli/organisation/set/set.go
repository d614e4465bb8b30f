// Package set implements 'kingcuprill organisation set', which creates or
// replaces an organisation in the catalogue.
package set

import (
	"context"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/state"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory  *factory.Factory
	Mutation factory.Mutation
	Name     string
	Rate     float64
	Burst    float64
	Weight   float64
	Home     string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "set",
		Short:   "Create or change an organisation",
		Long:    `Create an organisation, or replace its rate, burst, weight and home region. A flag that is left out gets its default; rate and burst have none and must be above 0.`,
		Example: `  kingcuprill organisation set puja-lights --rate 2000 --burst 20000`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.Name, "NAME", 1, true, "Name of the organisation.")
			o.Weight = 1
			sub.Float64(&o.Rate, "r", "rate", "Rate limit over all VMs, in tokens per second.")
			sub.Float64(&o.Burst, "b", "burst", "Tokens that may be used at once, over all VMs.")
			sub.Float64(&o.Weight, "w", "weight", "Relative share of a contended queue (default: 1).")
			sub.String(&o.Home, "", "home", "Home region of the organisation (default: none).")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_PutOrganisation{PutOrganisation: &state.Organisation{
		Name: o.Name, RatePerSecond: o.Rate, Burst: o.Burst, Weight: o.Weight, HomeRegion: o.Home,
	}}}, "organisation "+o.Name+" is set")
}
