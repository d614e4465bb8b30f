// Package list implements 'kingcuprill replica list', which prints the replicas
// of the control log and their lag in log entries.
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
		Short:   "List the replicas of the control log",
		Long:    `List the replicas of the control log as the leader sees them. Without a leader the list is empty.`,
		Example: `  kingcuprill replica list`,
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
	for _, r := range answer.GetReplicas() {
		lag := int64(answer.GetCommit()) - int64(r.GetMatch())
		rows = append(rows, []string{r.GetId(), r.GetRole(), fmt.Sprint(r.GetMatch()), fmt.Sprint(max(0, lag))})
	}
	return o.Factory.Print([]string{"id", "role", "match", "lag"}, rows)
}
