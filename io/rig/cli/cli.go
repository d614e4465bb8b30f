// Package cli implements kingcuprill-rig, the command line of the test rig: the
// demo and the measurements of load, fleet sizes and the control log.
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

// Main runs one command and returns its exit code. SIGINT and SIGTERM cancel the
// command. An error is printed to errOut.
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
	demoCommand := flaggy.NewSubcommand("demo")
	demoCommand.Description = "Show the way of a request on six VMs."
	parser.AttachSubcommand(demoCommand, 1)
	measureCommand := flaggy.NewSubcommand("measure")
	measureCommand.Description = "Run experiments and print a table."
	pattern, jsonPath := "experiments/*.json", ""
	measureCommand.String(&pattern, "", "experiments", "Settings files of the experiments, as a file pattern.")
	measureCommand.String(&jsonPath, "", "json", "Write the results as JSON to this file.")
	parser.AttachSubcommand(measureCommand, 1)
	scaleCommand := flaggy.NewSubcommand("scale")
	scaleCommand.Description = "Measure what a daemon spends on control at several fleet sizes."
	sizes := []int{}
	scaleCommand.IntSlice(&sizes, "", "vms", "Numbers of VMs.")
	parser.AttachSubcommand(scaleCommand, 1)
	controlCommand := flaggy.NewSubcommand("control")
	controlCommand.Description = "Measure the control log: commits, lost leaders, restarts."
	parser.AttachSubcommand(controlCommand, 1)
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	if len(sizes) == 0 {
		sizes = []int{6, 24, 96}
	}
	switch {
	case controlCommand.Used:
		return controlrun.Run(ctx, daemon, out)
	case scaleCommand.Used:
		return scale.Run(ctx, daemon, sizes, out)
	case demoCommand.Used:
		return demo.Run(ctx, daemon, out)
	case measureCommand.Used:
		return runExperiments(ctx, daemon, pattern, jsonPath, out)
	}
	return errors.New("no command is given; see kingcuprill-rig --help")
}

// runExperiments runs the experiments of all settings files that match a
// pattern, one after the other, and prints a line for each and a table. The
// results are written to jsonPath unless it is empty.
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
