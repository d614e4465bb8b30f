// Package factory hands commands their streams, their settings and the client
// of a VM.
package factory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/twitchtv/twirp"

	"kingcuprill/core/fault"
	"kingcuprill/io/cli/dial"
	"kingcuprill/io/cli/table"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/operator"
	"kingcuprill/rpc/state"
)

// Names of the environment's settings.
const (
	VMsVariable       = "KINGCUPRILL_VMS"
	TokenFileVariable = "KINGCUPRILL_TOKEN_FILE"
)

// Streams are the standard streams.
type Streams struct {
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Terminal bool // Out is a terminal
}

// Factory is what commands share.
type Factory struct {
	Streams   Streams
	VMs       string // operator addresses, separated by commas
	TokenFile string
	JSON      string // names of the fields to print, separated by commas; empty: a table
	// Dial makes a client; tests replace it.
	Dial func(address, token string) operator.Operator
}

// New returns a factory for the process's environment.
func New(streams Streams) *Factory {
	return &Factory{Streams: streams, VMs: os.Getenv(VMsVariable), TokenFile: os.Getenv(TokenFileVariable), Dial: dial.Operator}
}

// Flags declares the flags that all commands have.
func (f *Factory) Flags(sub *flaggy.Subcommand) {
	sub.String(&f.VMs, "", "vms", "Operator addresses of VMs to try, separated by commas (or "+VMsVariable+").")
	sub.String(&f.TokenFile, "", "token-file", "File that holds the operator token (or "+TokenFileVariable+").")
}

// JSONFlag declares the flag of commands that print rows.
func (f *Factory) JSONFlag(sub *flaggy.Subcommand) {
	sub.String(&f.JSON, "", "json", "Print these fields as JSON, separated by commas; 'all' for all.")
}

// Call calls VMs in turn until one answers. Each call must be safe to send
// twice.
func (f *Factory) Call(call func(operator.Operator) error) error {
	token, err := f.token()
	if err != nil {
		return err
	}
	if f.VMs == "" {
		return fmt.Errorf("no VM is named; set --vms or %s to the operator addresses of your VMs, such as 10.0.0.1:7003", VMsVariable)
	}
	var failures []string
	for address := range strings.SplitSeq(f.VMs, ",") {
		err = peer.FromTwirp(call(f.Dial(address, token)))
		if err == nil || !unreachable(err) {
			return err
		}
		failures = append(failures, fmt.Sprintf("%s: %v", address, err))
	}
	return fmt.Errorf("no VM answered; check --vms and that the VMs run:\n%s", strings.Join(failures, "\n"))
}

func unreachable(err error) bool {
	var wire twirp.Error
	if errors.As(err, &wire) && wire.Code() == twirp.Unauthenticated {
		return false
	}
	return fault.CodeOf(err) == fault.Internal
}

func (f *Factory) token() (token string, err error) {
	if f.TokenFile == "" {
		return "", fmt.Errorf("no operator token is given; set --token-file or %s to the file that holds it", TokenFileVariable)
	}
	data, err := os.ReadFile(f.TokenFile)
	if err != nil {
		return "", fmt.Errorf("the operator token can't be read; check --token-file: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// Print writes rows as a table or as JSON.
func (f *Factory) Print(columns []string, rows [][]string) error {
	return table.Print(f.Streams.Out, f.Streams.Terminal, f.JSON, columns, rows)
}

// Mutation is how a change is sent.
type Mutation struct {
	RequestID        string
	ExpectedRevision int
}

// Flags declares the flags of commands that change something.
func (m *Mutation) Flags(sub *flaggy.Subcommand) {
	m.ExpectedRevision = -1
	sub.String(&m.RequestID, "", "request-id", "Id of the request; send it again with the same id after a lost answer.")
	sub.Int(&m.ExpectedRevision, "", "expected-revision", "Refuse the change unless the catalogue is at this revision (default: the current one).")
}

// Mutate sends one change and prints what is in force.
func (f *Factory) Mutate(ctx context.Context, m Mutation, change *state.Change, done string) error {
	if m.RequestID == "" {
		m.RequestID = uuid.NewString()
	}
	revision, err := f.mutate(ctx, m, change)
	for tries := 1; m.ExpectedRevision < 0 && tries < maxTries && fault.CodeOf(err) == fault.StaleRevision; tries++ {
		// The revision was read by this command itself, which has shown nothing of it to the operator.
		revision, err = f.mutate(ctx, m, change)
	}
	if err != nil {
		return advise(err, m.RequestID)
	}
	fmt.Fprintf(f.Streams.Out, "%s (revision %d)\n", done, revision)
	return nil
}

// maxTries bounds how often a command reads the revision again when another
// change has come first.
const maxTries = 10

func (f *Factory) mutate(ctx context.Context, m Mutation, change *state.Change) (revision uint64, err error) {
	err = f.Call(func(client operator.Operator) error {
		expected, err := expectedRevision(ctx, client, m)
		if err != nil {
			return err
		}
		answer, err := client.Mutate(ctx, &operator.MutateRequest{RequestId: m.RequestID, ExpectedRevision: expected, Change: change})
		revision = answer.GetRevision()
		return err
	})
	return revision, err
}

func expectedRevision(ctx context.Context, client operator.Operator, m Mutation) (uint64, error) {
	if m.ExpectedRevision >= 0 {
		return uint64(m.ExpectedRevision), nil
	}
	answer, err := client.GetCatalogue(ctx, &operator.GetCatalogueRequest{})
	if err != nil {
		return 0, err
	}
	return answer.GetCatalogue().GetRevision(), nil
}

// advise adds what to do next to an error.
func advise(err error, requestID string) error {
	switch fault.CodeOf(err) {
	case fault.StaleRevision:
		return fmt.Errorf("%w; someone else has changed the catalogue: look at it again, then repeat the command", err)
	case fault.OutcomeUnknown:
		return fmt.Errorf("%w; repeat the command with --request-id %s to learn its outcome", err, requestID)
	case fault.NoQuorum:
		return fmt.Errorf("%w; see 'kingcuprill status' for the control VMs that can be reached", err)
	}
	return err
}

// Catalogue reads the catalogue. Without a majority of the control VMs it reads
// what a VM has in force, and says so.
func (f *Factory) Catalogue(ctx context.Context) (c *state.Catalogue, err error) {
	c, err = f.read(ctx, false)
	if fault.CodeOf(err) != fault.NoQuorum {
		return c, err
	}
	fmt.Fprintln(f.Streams.Err, "no majority of the control VMs answered; this is what one VM has in force, and newer changes may exist")
	return f.read(ctx, true)
}

func (f *Factory) read(ctx context.Context, local bool) (c *state.Catalogue, err error) {
	err = f.Call(func(client operator.Operator) error {
		answer, err := client.GetCatalogue(ctx, &operator.GetCatalogueRequest{Local: local})
		c = answer.GetCatalogue()
		return err
	})
	return c, err
}

// Status asks how the system stands.
func (f *Factory) Status(ctx context.Context) (answer *operator.StatusResponse, err error) {
	err = f.Call(func(client operator.Operator) (err error) {
		answer, err = client.Status(ctx, &operator.StatusRequest{})
		return err
	})
	return answer, err
}

// ChangeReplicas changes the replicas of the control log and prints what is in
// force.
func (f *Factory) ChangeReplicas(ctx context.Context, action, vm, done string) error {
	var answer *operator.ChangeReplicasResponse
	err := f.Call(func(client operator.Operator) (err error) {
		answer, err = client.ChangeReplicas(ctx, &operator.ChangeReplicasRequest{Action: action, Vm: vm})
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(f.Streams.Out, "replica %s %s; voters: %s; learners: %s\n", vm, done, strings.Join(answer.GetVoters(), ","), strings.Join(answer.GetLearners(), ","))
	return nil
}
