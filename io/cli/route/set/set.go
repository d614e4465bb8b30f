// Package set is the command 'kingcuprill route set'.
package set

import (
	"context"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/state"
)

// Options are the arguments of the command.
type Options struct {
	Factory          *factory.Factory
	Mutation         factory.Mutation
	Name             string
	Kind             string
	Service          string
	Models           string
	Open             bool
	Organisations    string
	Repeatable       bool
	Deadline         time.Duration
	Priority         int
	SendOrganisation bool
}

// New returns the command. Tests pass a run function of their own.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:  "set",
		Short: "Create or change a route",
		Long:  `Creates a route, or replaces it.`,
		Example: `  kingcuprill route set plans --service planner --models lantern-large --repeatable --deadline 2m
  kingcuprill route set deposits --kind service --service hire-desk`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.Name, "NAME", 1, true, "Name of the route.")
			o.Kind, o.Deadline = "model", presetDeadline
			sub.String(&o.Kind, "k", "kind", "What the route leads to: model or service.")
			sub.String(&o.Service, "s", "service", "Service that targets announce.")
			sub.String(&o.Models, "m", "models", "Models, separated by commas.")
			sub.Bool(&o.Open, "", "open", "Open to all, without a key.")
			sub.String(&o.Organisations, "o", "organisations", "Organisations that may use it, separated by commas (default: all).")
			sub.Bool(&o.Repeatable, "", "repeatable", "A call may run more than once. Calls of a service route are booked otherwise.")
			sub.Duration(&o.Deadline, "d", "deadline", "Time for a whole answer.")
			sub.Int(&o.Priority, "p", "priority", "Priority at the engines; higher goes first.")
			sub.Bool(&o.SendOrganisation, "", "send-organisation", "Tell targets the organisation's name.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_PutRoute{PutRoute: &state.Route{
		Name: o.Name, Kind: o.Kind, Service: o.Service, Models: split(o.Models), Open: o.Open, Organisations: split(o.Organisations),
		Repeatable: o.Repeatable, DeadlineNanoseconds: int64(o.Deadline), Priority: int32(o.Priority), SendOrganisation: o.SendOrganisation,
	}}}, "route "+o.Name+" is set")
}

const presetDeadline = time.Minute

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
