// Package cli is the command line of kingcuprill-rig.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/integrii/flaggy"

	"kingcuprill/io/rig/controlrun"
	"kingcuprill/io/rig/demo"
	"kingcuprill/io/rig/experiment"
	"kingcuprill/io/rig/scale"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

// Main runs one command of the rig and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, args, out); err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitOK
}

func run(ctx context.Context, args []string, out io.Writer) error {
	daemon := "bin/kingcuprilld"
	parser := flaggy.NewParser("kingcuprill-rig")
	parser.Description = "Fake targets, load and faults for tests and measurements."
	parser.String(&daemon, "", "daemon", "Path of the kingcuprilld program.")
	show := flaggy.NewSubcommand("demo")
	show.Description = "Show the way of a request on six VMs."
	parser.AttachSubcommand(show, 1)
	measure := flaggy.NewSubcommand("measure")
	measure.Description = "Run experiments and print a table."
	pattern, jsonPath := "experiments/*.json", ""
	measure.String(&pattern, "", "experiments", "Settings files of the experiments, as a file pattern.")
	measure.String(&jsonPath, "", "json", "Write the results as JSON to this file.")
	parser.AttachSubcommand(measure, 1)
	grow := flaggy.NewSubcommand("scale")
	grow.Description = "Measure what a daemon spends on control at several fleet sizes."
	sizes := []int{}
	grow.IntSlice(&sizes, "", "vms", "Numbers of VMs.")
	parser.AttachSubcommand(grow, 1)
	commit := flaggy.NewSubcommand("control")
	commit.Description = "Measure the control log: commits, lost leaders, restarts."
	parser.AttachSubcommand(commit, 1)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	if len(sizes) == 0 {
		sizes = []int{6, 24, 96}
	}
	switch {
	case commit.Used:
		return controlrun.Run(ctx, daemon, out)
	case grow.Used:
		return scale.Run(ctx, daemon, sizes, out)
	case show.Used:
		return demo.Run(ctx, daemon, out)
	case measure.Used:
		return runExperiments(ctx, daemon, pattern, jsonPath, out)
	}
	return errors.New("no command is given; see kingcuprill-rig --help")
}

// runExperiments runs one experiment after the other.
func runExperiments(ctx context.Context, daemon, pattern, jsonPath string, out io.Writer) error {
	paths, err := filepath.Glob(pattern)
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("--experiments: %q matches no file", pattern)
	}
	results := []experiment.Result{}
	for _, path := range paths {
		settings, err := experiment.Read(path)
		if err != nil {
			return err
		}
		result, err := experiment.Run(ctx, daemon, settings)
		if err != nil {
			return err
		}
		results = append(results, result)
		fmt.Fprintf(out, "%s: %d of %d answered, %v\n", result.Name, result.Answered, result.Requests, result.Codes)
	}
	if jsonPath != "" {
		file, err := os.Create(jsonPath)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := experiment.WriteJSON(file, results); err != nil {
			return err
		}
	}
	return experiment.Table(out, results)
}
