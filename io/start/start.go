// Package start is the command line of kingcuprilld. It checks the settings, creates
// the data folder of a control log replica, or serves until SIGTERM or SIGINT.
package start

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/integrii/flaggy"

	"kingcuprill/core/raft"
	"kingcuprill/io/daemon"
	"kingcuprill/io/disk"
	"kingcuprill/io/settings"
)

// Exit codes of the program.
const (
	exitOK        = 0
	exitFailed    = 1
	exitCancelled = 2
)

type options struct {
	path   string
	check  bool
	format bool
	join   bool
}

// Main runs the command line and returns the exit code: 0 on success, 1 after a
// failure, 2 if it was cancelled. A second signal during the stop exits with 2 at
// once.
func Main(args []string, out, errOut io.Writer) int {
	o, err := parse(args)
	if err == nil {
		err = run(o, out, errOut)
	}
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, context.Canceled):
		return exitCancelled
	}
	fmt.Fprintln(errOut, err)
	return exitFailed
}

func parse(args []string) (o options, err error) {
	parser := flaggy.NewParser("kingcuprilld")
	parser.Description = "Runs an entry VM of kingcuprill."
	parser.AdditionalHelpAppend = `
Examples:
  kingcuprilld --check vm.json           check the settings and exit
  kingcuprilld --format vm.json          create the data folder of a control VM of a new cluster
  kingcuprilld --format --join vm.json   create the data folder of a VM that joins or replaces a lost one
  kingcuprilld vm.json                   serve`
	parser.AddPositionalValue(&o.path, "SETTINGS", 1, true, "Path of the settings file.")
	parser.Bool(&o.check, "c", "check", "Check the settings and exit.")
	parser.Bool(&o.format, "f", "format", "Create the data folder of a control VM and exit.")
	parser.Bool(&o.join, "j", "join", "With --format: the VM joins a running cluster.")
	parser.DisableShowVersionWithVersion()
	if err := parser.ParseArgs(args); err != nil {
		return o, err
	}
	if o.join && !o.format {
		return o, errors.New("--join can be used only with --format")
	}
	return o, nil
}

func run(o options, out, errOut io.Writer) error {
	s, err := settings.Load(o.path)
	if err != nil {
		return err
	}
	if o.check {
		fmt.Fprintf(out, "%s: the settings of VM %s are valid\n", o.path, s.VM.ID)
		return nil
	}
	if o.format {
		return format(o, s, out)
	}
	return serve(s, errOut)
}

// format creates a data folder. All first replicas of a cluster start with the same
// membership; one that joins starts with an empty one and waits to be added.
func format(o options, s settings.Settings, out io.Writer) error {
	if s.Control.DataDir == "" {
		return errors.New("control.data_dir: it must be set to create a data folder")
	}
	first := raft.Membership{}
	if !o.join {
		if !slices.Contains(s.Control.Replicas, s.VM.ID) {
			return fmt.Errorf("control.replicas: %q does not name VM %s; add it, or use --join", s.Control.Replicas, s.VM.ID)
		}
		first.Voters = s.Control.Replicas
	}
	identity := disk.Identity{ClusterID: s.Cluster.ID, VM: s.VM.ID}
	if err := disk.Format(s.Control.DataDir, identity, first); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: the data folder of VM %s is made\n", s.Control.DataDir, s.VM.ID)
	return nil
}

func serve(s settings.Settings, errOut io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: level}))
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		log.Error("second signal was received; program exits at once and running requests are cut off")
		os.Exit(exitCancelled)
	}()
	return d.Run(ctx)
}
