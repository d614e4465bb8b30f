// Package command defines the type of a command of the command line: its help
// texts, its flags and its run function.
package command

import (
	"context"

	"github.com/integrii/flaggy"
)

// Command is one verb of a noun, such as "list" in "key list".
type Command struct {
	Name    string
	Short   string
	Long    string
	Example string
	// Flags declares the flags and positional values.
	Flags func(*flaggy.Subcommand)
	// WrongUsage tells that wrong arguments are a UsageError, which has an exit code of
	// its own. For other commands they are errors like any.
	WrongUsage bool
	// Run executes the command after its flags were parsed.
	Run func(ctx context.Context) error
}

// Group is a noun with its verbs.
type Group struct {
	Name     string
	Short    string
	Commands []*Command
}

// UsageError is an error in the arguments of a command, such as a file that can't be read.
type UsageError struct {
	Err error
}

// Error returns the text of the error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the error in the arguments.
func (e *UsageError) Unwrap() error { return e.Err }
