// Package cli is the command line of kingcuprill-rig.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"kingcuprill/io/rig/demo"
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
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	if show.Used {
		return demo.Run(ctx, daemon, out)
	}
	return errors.New("no command is given; see kingcuprill-rig --help")
}
