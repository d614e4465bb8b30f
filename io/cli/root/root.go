// Package root is the entry point of the operators' command line: it selects a
// command by noun and verb, parses its flags, runs it and maps its error to an exit
// code.
package root

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/twitchtv/twirp"

	"kingcuprill/core/fault"
	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
)

// Exit codes. Scripts depend on them.
const (
	exitOK              = 0
	exitFailed          = 1
	exitCancelled       = 2
	exitUsage           = 2
	exitUnauthenticated = 4
)

// Main runs one command and returns the exit code of the process. It prints an
// error to the standard error stream. The options come from the program, for what no
// package of the command line may import.
func Main(ctx context.Context, args []string, streams factory.Streams, options ...factory.Option) int {
	f := factory.New(streams)
	for _, option := range options {
		option(f)
	}
	err := run(ctx, f, args)
	if err != nil && !errors.Is(err, errShown) {
		fmt.Fprintln(streams.Err, err)
	}
	return exitCode(ctx, err)
}

func exitCode(ctx context.Context, err error) int {
	var twirpErr twirp.Error
	var usage *command.UsageError
	switch {
	case err == nil:
		return exitOK
	case ctx.Err() != nil:
		return exitCancelled
	case errors.As(err, &usage):
		return exitUsage
	case fault.CodeOf(err) == fault.Unauthenticated, errors.As(err, &twirpErr) && twirpErr.Code() == twirp.Unauthenticated:
		return exitUnauthenticated
	}
	return exitFailed
}

// errShown marks an error that has been printed already.
var errShown = errors.New("help was shown")

func run(ctx context.Context, f *factory.Factory, args []string) error {
	all := groups(f)
	if len(args) == 0 || args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		printOverview(f.Streams.Out, all)
		return nil
	}
	for _, group := range all {
		if group.Name == args[0] {
			return runGroup(ctx, f, group, args[1:])
		}
	}
	return fmt.Errorf("%q is not a command; see 'kingcuprill help'", args[0])
}

func printOverview(w io.Writer, all []command.Group) {
	fmt.Fprintln(w, "Manage a kingcuprill cluster.\n\nUsage: kingcuprill NOUN VERB [flags]")
	for _, group := range all {
		fmt.Fprintf(w, "\n%s: %s\n", group.Name, group.Short)
		for _, c := range group.Commands {
			fmt.Fprintf(w, "  %-16s %s\n", c.Name, c.Short)
		}
	}
	fmt.Fprintln(w, "\nSee 'kingcuprill NOUN VERB --help' for the flags of a command.")
}

func runGroup(ctx context.Context, f *factory.Factory, group command.Group, args []string) error {
	if len(args) == 0 || args[0] == "--help" || args[0] == "-h" {
		printOverview(f.Streams.Out, []command.Group{group})
		return nil
	}
	for _, c := range group.Commands {
		if c.Name == args[0] {
			return runCommand(ctx, f, group.Name, c, args[1:])
		}
	}
	return fmt.Errorf("%q is not a command of %q; see 'kingcuprill %s --help'", args[0], group.Name, group.Name)
}

func runCommand(ctx context.Context, f *factory.Factory, noun string, c *command.Command, args []string) error {
	parser := flaggy.NewParser("kingcuprill " + noun + " " + c.Name)
	parser.Description = c.Long
	parser.AdditionalHelpAppend = "\nExample:\n" + c.Example
	parser.ShowHelpOnUnexpected = false
	parser.DisableShowVersionWithVersion()
	c.Flags(&parser.Subcommand)
	for _, arg := range args {
		if arg == "--help" || arg == "-h" {
			printHelp(f.Streams.Out, noun, c, parser)
			return nil
		}
	}
	if err := parse(noun, c, parser, args); err != nil {
		if c.WrongUsage {
			return &command.UsageError{Err: err}
		}
		return err
	}
	return c.Run(ctx)
}

func parse(noun string, c *command.Command, parser *flaggy.Parser, args []string) error {
	if err := checkPositionals(noun, c, parser, args); err != nil {
		return err
	}
	if err := parser.ParseArgs(args); err != nil {
		return fmt.Errorf("%w; see 'kingcuprill %s %s --help'", err, noun, c.Name)
	}
	if !c.WrongUsage {
		return nil
	}
	return checkNoMore(noun, c, parser, args)
}

// checkNoMore returns an error for an argument that the command doesn't have, which the
// parser leaves out. All flags of the command must have values.
func checkNoMore(noun string, c *command.Command, parser *flaggy.Parser, args []string) error {
	positionals := 0
	for i := 0; i < len(args); i++ {
		name, isFlag := strings.CutPrefix(args[i], "--")
		name, _, hasValue := strings.Cut(name, "=")
		known := slices.ContainsFunc(parser.Flags, func(f *flaggy.Flag) bool { return f.LongName == name })
		switch {
		case isFlag && known && !hasValue:
			i++ // its value
		case !isFlag:
			positionals++
		}
		if isFlag && !known || positionals > len(parser.PositionalFlags) {
			return fmt.Errorf("%q is not an argument of '%s %s'; see 'kingcuprill %s %s --help'", args[i], noun, c.Name, noun, c.Name)
		}
	}
	return nil
}

// checkPositionals returns an error for a missing positional value, for which the
// parser would end the process.
func checkPositionals(noun string, c *command.Command, parser *flaggy.Parser, args []string) error {
	for _, p := range parser.PositionalFlags {
		if p.Required && (len(args) < p.Position || strings.HasPrefix(args[p.Position-1], "-")) {
			return fmt.Errorf("%s is missing; see 'kingcuprill %s %s --help'", p.Name, noun, c.Name)
		}
	}
	return nil
}

func printHelp(w io.Writer, noun string, c *command.Command, parser *flaggy.Parser) {
	fmt.Fprintf(w, "%s\n\nUsage: kingcuprill %s %s", c.Long, noun, c.Name)
	for _, p := range parser.PositionalFlags {
		fmt.Fprintf(w, " %s", p.Name)
	}
	fmt.Fprintln(w, " [flags]")
	for _, p := range parser.PositionalFlags {
		fmt.Fprintf(w, "  %-20s %s\n", p.Name, p.Description)
	}
	for _, flag := range parser.Flags {
		if flag.LongName != "version" {
			fmt.Fprintf(w, "  --%-18s %s\n", flag.LongName, flag.Description)
		}
	}
	fmt.Fprintf(w, "\nExample:\n%s\n", c.Example)
}
