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
	// Run executes the command after its flags were parsed.
	Run func(ctx context.Context) error
}

// Group is a noun with its verbs.
type Group struct {
	Name     string
	Short    string
	Commands []*Command
}
