// Package grant implements 'kingcuprill key grant', which creates a caller's
// API key. Only the SHA-256 of its secret is sent to the cluster.
package grant

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/state"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory      *factory.Factory
	Mutation     factory.Mutation
	ID           string
	Organisation string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "grant",
		Short:   "Create a key for an organisation",
		Long:    `Create a key for an organisation. Its secret is printed once, on standard output, and cannot be shown again: the system stores only a hash.`,
		Example: `  kingcuprill key grant puja-lights-web --organisation puja-lights`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.ID, "ID", 1, true, "Id of the new key.")
			sub.String(&o.Organisation, "o", "organisation", "Organisation that the key belongs to.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	secret := "kc_" + rand.Text() + rand.Text()
	sum := sha256.Sum256([]byte(secret))
	err := o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_GrantKey{GrantKey: &state.Key{
		Id: o.ID, Organisation: o.Organisation, SecretHash: hex.EncodeToString(sum[:]),
	}}}, "key "+o.ID+" is granted")
	if err != nil {
		return err
	}
	fmt.Fprintln(o.Factory.Streams.Out, secret)
	return nil
}
