// Package command is the frame of one command of kingcuprill: its help, its
// flags and what it runs.
package command

import (
	"context"

	"github.com/integrii/flaggy"
)

// Command is one verb of a noun.
type Command struct {
	Name    string
	Short   string
	Long    string
	Example string
	// Flags declares the flags and positional values.
	Flags func(*flaggy.Subcommand)
	Run   func(ctx context.Context) error
}

// Group is a noun with its verbs.
type Group struct {
	Name     string
	Short    string
	Commands []*Command
}
