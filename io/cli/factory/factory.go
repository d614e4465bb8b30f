// Package factory provides what the commands of the command line share: the
// standard streams, the common flags, calls to the operator interface of the VMs
// with failover, and changes of the catalogue by compare-and-set on its revision.
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
	"kingcuprill/core/plan"
	"kingcuprill/io/cli/dial"
	"kingcuprill/io/cli/table"
	"kingcuprill/io/peer"
	"kingcuprill/rpc/operator"
	"kingcuprill/rpc/state"
)

// Environment variables that set the defaults of --vms and --token-file.
const (
	VMsVariable       = "KINGCUPRILL_VMS"
	TokenFileVariable = "KINGCUPRILL_TOKEN_FILE"
)

// Streams holds the standard streams of the process.
type Streams struct {
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Terminal bool // Out is a terminal
}

// Factory holds the settings that commands share.
type Factory struct {
	Streams    Streams
	VMs        string // operator addresses, separated by commas
	TokenFile  string
	JSONFields string // names of the fields to print, separated by commas; empty: print rows as text
	// Dial returns a client for an operator address. Tests may replace it.
	Dial func(address, token string) operator.Operator
	// DialQuarantines is like Dial, for the quarantine calls.
	DialQuarantines func(address, token string) operator.Quarantines
	// Plans reads configuration documents of the platform.
	Plans Plans
}

// Plans reads configuration documents of the platform.
type Plans struct {
	MaxBytes      int                                  // of a document
	DecodeNew     func(data []byte) (plan.Plan, error) // refuses what a control VM refuses
	DecodeInForce func(data []byte) (plan.Plan, error)
}

// Option sets something in a factory.
type Option func(*Factory)

// WithPlans sets what reads configuration documents.
func WithPlans(plans Plans) Option {
	return func(f *Factory) { f.Plans = plans }
}

// New returns a factory with defaults from the environment variables.
func New(streams Streams) *Factory {
	return &Factory{Streams: streams, VMs: os.Getenv(VMsVariable), TokenFile: os.Getenv(TokenFileVariable), Dial: dial.Operator, DialQuarantines: dial.Quarantines}
}

// Flags declares the flags of all commands that call a VM.
func (f *Factory) Flags(sub *flaggy.Subcommand) {
	sub.String(&f.VMs, "", "vms", "Operator addresses of VMs to try, separated by commas (or "+VMsVariable+").")
	sub.String(&f.TokenFile, "", "token-file", "File that holds the operator token (or "+TokenFileVariable+").")
}

// JSONFlag declares the flag of commands that print rows.
func (f *Factory) JSONFlag(sub *flaggy.Subcommand) {
	sub.String(&f.JSONFields, "", "json", "Print these fields as JSON, separated by commas; 'all' for all.")
}

// Call runs call against the VMs in their order until one answers, with a result
// or with an error other than an internal one. After a lost answer the call is sent
// again to the next VM, so it must be idempotent.
func (f *Factory) Call(call func(operator.Operator) error) error {
	token, err := f.token()
	if err != nil {
		return err
	}
	return f.callVMs(func(address string) error { return call(f.Dial(address, token)) })
}

// CallQuarantines is like Call, for the quarantine calls. The VMs of the platform take
// them without a token, at the address of their metrics.
func (f *Factory) CallQuarantines(call func(operator.Quarantines) error) error {
	token := ""
	if f.TokenFile != "" {
		read, err := f.token()
		if err != nil {
			return err
		}
		token = read
	}
	return f.callVMs(func(address string) error { return call(f.DialQuarantines(address, token)) })
}

// callVMs runs call with the VMs' addresses in their order until one answers.
func (f *Factory) callVMs(call func(address string) error) error {
	if f.VMs == "" {
		return fmt.Errorf("no VM address is set; set --vms or %s to the operator addresses of your VMs, such as 10.0.0.1:7003", VMsVariable)
	}
	var failures []string
	for address := range strings.SplitSeq(f.VMs, ",") {
		err := peer.FromTwirp(call(address))
		if err == nil || !unreachable(err) {
			return err
		}
		failures = append(failures, fmt.Sprintf("%s: %v", address, err))
	}
	return fmt.Errorf("%w; check the addresses in --vms and that the VMs run:\n%s", errNoAnswer, strings.Join(failures, "\n"))
}

var errNoAnswer = errors.New("none of the VMs answered")

// OutcomeUnknown reports whether a call that ended with this error may have been
// carried out.
func OutcomeUnknown(err error) bool {
	return fault.CodeOf(err) == fault.OutcomeUnknown || errors.Is(err, errNoAnswer)
}

// unreachable reports whether an error came from the connection or from inside the
// VM, so that another VM may still answer.
func unreachable(err error) bool {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) && twirpErr.Code() == twirp.Unauthenticated {
		return false
	}
	return fault.CodeOf(err) == fault.Internal
}

func (f *Factory) token() (token string, err error) {
	if f.TokenFile == "" {
		return "", fmt.Errorf("no operator token file is set; set --token-file or %s to the file that holds the operator token", TokenFileVariable)
	}
	data, err := os.ReadFile(f.TokenFile)
	if err != nil {
		return "", fmt.Errorf("read the operator token; check --token-file or the environment variable: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// Print writes rows to the standard output in the format that the flags and the
// stream ask for.
func (f *Factory) Print(columns []string, rows [][]string) error {
	return table.Print(f.Streams.Out, f.Streams.Terminal, f.JSONFields, columns, rows)
}

// Mutation holds the flags of commands that change the catalogue.
type Mutation struct {
	RequestID        string // deduplicates retries; empty: a new id
	ExpectedRevision int    // below 0: the current revision
}

// Flags declares the flags of a mutation and sets their defaults.
func (m *Mutation) Flags(sub *flaggy.Subcommand) {
	m.ExpectedRevision = -1
	sub.String(&m.RequestID, "", "request-id", "Id of the change; if the outcome is unknown, repeat the command with the same id (default: a new id).")
	sub.Int(&m.ExpectedRevision, "", "expected-revision", "Refuse the change unless the catalogue is at this revision (default: the current one).")
}

// Mutate commits one change of the catalogue, then prints message and the new revision.
// If another change was committed first, it reads the new revision and sends the change
// again, at most maxTries times in all, unless the operator has set an expected revision.
func (f *Factory) Mutate(ctx context.Context, m Mutation, change *state.Change, message string) error {
	if m.RequestID == "" {
		m.RequestID = uuid.NewString()
	}
	revision, err := f.mutate(ctx, m, change)
	for tries := 1; m.ExpectedRevision < 0 && tries < maxTries && fault.CodeOf(err) == fault.StaleRevision; tries++ {
		// Safe to retry: this command read the revision itself, and the operator has not seen that state.
		revision, err = f.mutate(ctx, m, change)
	}
	if err != nil {
		return withAdvice(err, m.RequestID)
	}
	fmt.Fprintf(f.Streams.Out, "%s (revision %d)\n", message, revision)
	return nil
}

// maxTries bounds how often a command reads the current revision and sends its
// change when other changes are committed in between.
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

// withAdvice adds to an error what the operator should do next.
func withAdvice(err error, requestID string) error {
	if OutcomeUnknown(err) {
		return fmt.Errorf("%w; repeat the command with --request-id %s to learn its outcome", err, requestID)
	}
	switch fault.CodeOf(err) {
	case fault.StaleRevision:
		return fmt.Errorf("%w; another change was committed first: check the catalogue, then repeat the command; if you set --expected-revision, set it to the current revision", err)
	case fault.NoQuorum:
		return fmt.Errorf("%w; run 'kingcuprill status show' to see which control VMs can be reached, then repeat the command", err)
	}
	return err
}

// Catalogue reads the newest committed catalogue. Without a majority of the control
// VMs it returns the one that some VM has in force, which may be stale, and prints a
// warning to the standard error stream.
func (f *Factory) Catalogue(ctx context.Context) (c *state.Catalogue, err error) {
	c, err = f.readCatalogue(ctx, false)
	if fault.CodeOf(err) != fault.NoQuorum {
		return c, err
	}
	fmt.Fprintln(f.Streams.Err, "no majority of the control VMs answered; this is what one VM has in force, and newer changes may exist")
	return f.readCatalogue(ctx, true)
}

func (f *Factory) readCatalogue(ctx context.Context, local bool) (c *state.Catalogue, err error) {
	err = f.Call(func(client operator.Operator) error {
		answer, err := client.GetCatalogue(ctx, &operator.GetCatalogueRequest{Local: local})
		c = answer.GetCatalogue()
		return err
	})
	return c, err
}

// Status returns the state of the system as seen by the VM that answers.
func (f *Factory) Status(ctx context.Context) (answer *operator.StatusResponse, err error) {
	err = f.Call(func(client operator.Operator) (err error) {
		answer, err = client.Status(ctx, &operator.StatusRequest{})
		return err
	})
	return answer, err
}

// ChangeReplicas applies an action (add, promote or remove) to the replica of a VM,
// then prints outcome and the new membership of the control log.
func (f *Factory) ChangeReplicas(ctx context.Context, action, vm, outcome string) error {
	var answer *operator.ChangeReplicasResponse
	err := f.Call(func(client operator.Operator) (err error) {
		answer, err = client.ChangeReplicas(ctx, &operator.ChangeReplicasRequest{Action: action, Vm: vm})
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(f.Streams.Out, "replica %s %s; voters: %s; learners: %s\n", vm, outcome, strings.Join(answer.GetVoters(), ","), strings.Join(answer.GetLearners(), ","))
	return nil
}
