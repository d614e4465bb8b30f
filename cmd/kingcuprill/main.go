// Command kingcuprill is the command-line client for operators of a cluster.
package main

import (
	"context"
	"os"
	"os/signal"

	"kingcuprill/io/cli/factory"
	"kingcuprill/io/cli/root"
	"kingcuprill/platform/document"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	streams := factory.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: terminal}
	plans := factory.Plans{MaxBytes: document.MaxBytes, DecodeNew: document.DecodeNew, DecodeInForce: document.Decode}
	os.Exit(root.Main(ctx, os.Args[1:], streams, factory.WithPlans(plans)))
}
