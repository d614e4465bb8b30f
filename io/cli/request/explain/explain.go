// Package explain implements 'kingcuprill request explain', which reads log
// files of VMs and reports how one request ended and why. It calls no VM.
package explain

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"kingcuprill/core/explain"
	"kingcuprill/core/fault"
	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/io/cli/table"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory    *factory.Factory
	ID         string
	Files      []string
	JSONFields string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "explain",
		Short:   "Explain from log files how a request ended",
		Long:    `Print the log lines of one request from the log files of several VMs, in order of time, and the reason for its end.`,
		Example: `  kingcuprill request explain 40162c805ecc9241 --log entry-1.log --log entry-2.log`,
		Flags: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&o.ID, "ID", 1, true, "Id of the request.")
			sub.StringSlice(&o.Files, "l", "log", "Log file of a VM; repeat the flag for more files.")
			sub.String(&o.JSONFields, "", "json", "Print these fields as JSON, separated by commas; 'all' for all of "+strings.Join(columns, ",")+".")
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

var columns = []string{"time", "file", "message", "fields"}

func run(_ context.Context, o *Options) (err error) {
	defer fault.Annotate(&err, "explain request %s", o.ID)
	if len(o.Files) == 0 {
		return fault.New(fault.Invalid, "no log file is named; use --log FILE")
	}
	report := explain.Report{}
	for _, file := range o.Files {
		if err := collect(&report, o.ID, file); err != nil {
			return err
		}
	}
	if len(report.Lines) == 0 {
		return fault.New(fault.NotFound, "none of the %d log files mentions it; check the id and name the logs of all entry VMs with --log", len(o.Files))
	}
	report.Finish()
	streams := o.Factory.Streams
	if err := table.Print(streams.Out, streams.Terminal, o.JSONFields, columns, rows(report)); err != nil {
		return err
	}
	if o.JSONFields == "" {
		fmt.Fprintln(streams.Out, report.Conclusion)
	}
	if report.Unreadable > 0 {
		fmt.Fprintf(streams.Err, "%d lines could not be read\n", report.Unreadable)
	}
	return nil
}

func collect(report *explain.Report, id, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return report.Collect(id, path, file)
}

func rows(report explain.Report) (all [][]string) {
	for _, line := range report.Lines {
		pairs := []string{}
		for _, key := range slices.Sorted(maps.Keys(line.Fields)) {
			if key != "time" && key != "msg" && key != "level" && key != "request" {
				pairs = append(pairs, key+"="+line.Fields[key])
			}
		}
		all = append(all, []string{line.At.Format("15:04:05.000"), line.File, line.Message, strings.Join(pairs, " ")})
	}
	return all
}
