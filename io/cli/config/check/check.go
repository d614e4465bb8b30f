// Package check implements 'kingcuprill config check', which reports the faults of a
// configuration document of the platform before it is sent.
package check

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"kingcuprill/core/plan"
	"kingcuprill/core/plancheck"
	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *factory.Factory
	File    string
	Against string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:  "check",
		Short: "Check a configuration document of the platform before it is sent",
		Long: `Print what the control VMs of the platform would refuse in a configuration document, entries that never match a request, and limits that contradict each other. With --against, also print what it changes. No VM is called.

Exit codes: 0 no findings, 1 findings, 2 wrong arguments. Differences are no findings; a version that isn't higher is one.`,
		Example: `  kingcuprill config check new.json --against in-force.json`,
		Flags: func(sub *flaggy.Subcommand) {
			f.JSONFlag(sub)
			sub.AddPositionalValue(&o.File, "FILE", 1, true, "Configuration document in JSON, as the platform's control VMs take it.")
			sub.String(&o.Against, "", "against", "Document with the version in force.")
		},
		WrongUsage: true,
		Run:        func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(_ context.Context, o *Options) error {
	if o.Factory.Plans.DecodeNew == nil {
		return errors.New("this program can't read documents of the platform; use the kingcuprill command of a release")
	}
	before, err := o.readInForce()
	if err != nil {
		return err
	}
	data, err := o.read(o.File)
	if err != nil {
		return err
	}
	all := o.check(data, before)
	if err := o.print(all); err != nil {
		return err
	}
	if faults := countFaults(all); faults > 0 {
		return fmt.Errorf("%s: %d findings; mend them, then check the document again", o.File, faults)
	}
	return nil
}

// read reads a document, or the part of it by which it is seen to be too large.
func (o *Options) read(path string) (data []byte, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &command.UsageError{Err: fmt.Errorf("read the configuration document; check its path: %w", err)}
	}
	defer file.Close()
	data, err = io.ReadAll(io.LimitReader(file, int64(o.Factory.Plans.MaxBytes)+1))
	if err != nil {
		return nil, &command.UsageError{Err: fmt.Errorf("read the configuration document; check that %s is a file: %w", path, err)}
	}
	return data, nil
}

// readInForce returns the plan in force, nil if none is given.
func (o *Options) readInForce() (*plan.Plan, error) {
	if o.Against == "" {
		return nil, nil
	}
	data, err := o.read(o.Against)
	if err != nil {
		return nil, err
	}
	p, err := o.Factory.Plans.DecodeInForce(data)
	if err != nil {
		return nil, &command.UsageError{Err: fmt.Errorf("%s can't be in force; set --against to the document that the control VMs have acknowledged last: %w", o.Against, err)}
	}
	return &p, nil
}

func (o *Options) check(data []byte, before *plan.Plan) (all []plancheck.Finding) {
	if len(data) > o.Factory.Plans.MaxBytes {
		return []plancheck.Finding{{Class: plancheck.Refused, Entry: "document", Field: "bytes", Text: fmt.Sprintf("it must be at most %d bytes long", o.Factory.Plans.MaxBytes)}}
	}
	p, err := o.Factory.Plans.DecodeNew(data)
	all = plancheck.Refusals(err)
	if p.Version == 0 {
		return all // nothing was decoded
	}
	if p.Validate() != nil {
		// The decoder stops at the first kind of faults.
		all = append(all, plancheck.Refusals(p.CheckBounds())...)
	}
	all = append(all, plancheck.Check(p)...)
	if before != nil {
		all = append(all, plancheck.Compare(*before, p)...)
	}
	return all
}

func countFaults(all []plancheck.Finding) (count int) {
	for _, f := range all {
		if f.Class != plancheck.Difference {
			count++
		}
	}
	return count
}

func (o *Options) print(all []plancheck.Finding) error {
	rows := [][]string{}
	for _, f := range all {
		rows = append(rows, []string{string(f.Class), f.Entry, f.Field, f.Value, strings.ReplaceAll(f.Text, "\n", " ")})
	}
	return o.Factory.Print([]string{"class", "entry", "field", "value", "finding"}, rows)
}
