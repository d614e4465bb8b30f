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
	SecretHash   string // hexadecimal SHA-256 of a secret that an earlier run has printed
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:  "grant",
		Short: "Create a key for an organisation",
		Long: `Create a key for an organisation. Its secret is printed once, on standard output, and cannot be shown again: the system stores only a hash.

If the outcome is unknown, the secret is printed nevertheless. Keep it, and repeat the command as the error says to learn whether the key was created with it.`,
		Example: `  kingcuprill key grant puja-lights-web --organisation puja-lights`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			sub.AddPositionalValue(&o.ID, "ID", 1, true, "Id of the new key.")
			sub.String(&o.Organisation, "o", "organisation", "Organisation that the key belongs to.")
			sub.String(&o.SecretHash, "", "secret-hash", "SHA-256 of a secret that was printed before, in hexadecimal; no new secret is made.")
			o.Mutation.Flags(sub)
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	secret, hash, err := o.secret()
	if err != nil {
		return err
	}
	err = o.Factory.Mutate(ctx, o.Mutation, &state.Change{Kind: &state.Change_GrantKey{GrantKey: &state.Key{
		Id: o.ID, Organisation: o.Organisation, SecretHash: hash,
	}}}, "key "+o.ID+" is granted")
	unknown := factory.OutcomeUnknown(err)
	if secret != "" && (err == nil || unknown) {
		fmt.Fprintln(o.Factory.Streams.Out, secret)
	}
	if unknown {
		return fmt.Errorf("%w and --secret-hash %s; keep the secret that was printed until then", err, hash)
	}
	return err
}

// secret returns a new secret and its hash, or only the hash that the operator has
// given.
func (o *Options) secret() (secret, hash string, err error) {
	if o.SecretHash == "" {
		secret = "kc_" + rand.Text() + rand.Text()
		sum := sha256.Sum256([]byte(secret))
		return secret, hex.EncodeToString(sum[:]), nil
	}
	sum, err := hex.DecodeString(o.SecretHash)
	if err != nil || len(sum) != sha256.Size {
		return "", "", fmt.Errorf("--secret-hash %q: want %d hexadecimal digits, as an earlier run of the command has printed them", o.SecretHash, 2*sha256.Size)
	}
	return "", hex.EncodeToString(sum), nil
}
