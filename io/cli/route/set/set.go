// Package set implements 'kingcuprill route set', which creates or replaces a
// route in the catalogue.
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

// Options holds the flags and arguments of the command.
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

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:  "set",
		Short: "Create or change a route",
		Long:  `Create a route, or replace all its settings. A flag that is left out gets its default.`,
		Example: `  kingcuprill route set plans --service planner --models lantern-large --repeatable --deadline 2m
  kingcuprill route set deposits --kind service --service hire-desk`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.Name, "NAME", 1, true, "Name of the route.")
			o.Kind, o.Deadline = "model", defaultDeadline
			sub.String(&o.Kind, "k", "kind", "Kind of the route: model or service (default: model).")
			sub.String(&o.Service, "s", "service", "Service that handles the requests, by the name that its targets announce.")
			sub.String(&o.Models, "m", "models", "Models that a route of kind model serves, separated by commas.")
			sub.Bool(&o.Open, "", "open", "Accept requests without a key.")
			sub.String(&o.Organisations, "o", "organisations", "Organisations that may use the route, separated by commas (default: all).")
			sub.Bool(&o.Repeatable, "", "repeatable", "Requests are idempotent and may be retried. Without this flag, requests of a service route other than GET run at most once, under an idempotency key.")
			sub.Duration(&o.Deadline, "d", "deadline", "Time limit for a whole answer, such as 30s (default: 1m).")
			sub.Int(&o.Priority, "p", "priority", "Priority of the requests at the engines; higher goes first (default: 0).")
			sub.Bool(&o.SendOrganisation, "", "send-organisation", "Send the organisation's name to the targets.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	return o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_PutRoute{PutRoute: &state.Route{
		Name: o.Name, Kind: o.Kind, Service: o.Service, Models: splitList(o.Models), Open: o.Open, Organisations: splitList(o.Organisations),
		Repeatable: o.Repeatable, DeadlineNanoseconds: int64(o.Deadline), Priority: int32(o.Priority), SendOrganisation: o.SendOrganisation,
	}}}, "route "+o.Name+" is set")
}

const defaultDeadline = time.Minute

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
