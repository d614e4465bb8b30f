// Package show implements 'kingcuprill status show', which prints the state of
// the control log and of the VMs, as seen by one VM.
package show

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
		Name:    "show",
		Short:   "Show the state of the system",
		Long:    `Show the leader of the control log, its replicas with their lag in log entries, and the catalogue revision of each VM.`,
		Example: `  kingcuprill status show`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	answer, err := o.Factory.Status(ctx)
	if err != nil {
		return err
	}
	out := o.Factory.Streams.Out
	leader := answer.GetLeader()
	if leader == "" {
		leader = "none can be reached"
	}
	fmt.Fprintf(out, "answered by\t%s\nrevision\t%d\nleader\t%s\nterm\t%d\ncommitted\t%d\n", answer.GetAnsweredBy(), answer.GetRevision(), leader, answer.GetTerm(), answer.GetCommit())
	for _, r := range answer.GetReplicas() {
		fmt.Fprintf(out, "replica\t%s\t%s\tlag %d\n", r.GetId(), r.GetRole(), max(0, int64(answer.GetCommit())-int64(r.GetMatch())))
	}
	for _, v := range answer.GetVms() {
		fmt.Fprintf(out, "vm\t%s\t%s\t%s\trevision %d\t%s\n", v.GetId(), v.GetRegion(), v.GetState(), v.GetRevision(), v.GetShareState())
	}
	return nil
}
