// Package burn implements 'kingcuprill report burn', which prints the error
// budget burn rates of all VMs, as rows or as an HTML page.
package burn

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"kingcuprill/io/cli/command"
	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/operator"
)

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *factory.Factory
	HTML    string
}

// New returns the command. A test may replace its run function by runF; nil keeps
// the default.
func New(f *factory.Factory, runF func(context.Context, *Options) error) *command.Command {
	o := &Options{Factory: f}
	if runF == nil {
		runF = run
	}
	return &command.Command{
		Name:    "burn",
		Short:   "Report the burn rates of error budgets",
		Long:    `Report how fast each organisation and route uses up its error budget, over three sliding windows. A burn rate of 1 uses up the budget exactly.`,
		Example: `  kingcuprill report burn --html burn.html`,
		Flags: func(sub *flaggy.Subcommand) {
			f.Flags(sub)
			f.JSONFlag(sub)
			sub.String(&o.HTML, "", "html", "Write the report as an HTML page with bars to this file.")
		},
		Run: func(ctx context.Context) error { return runF(ctx, o) },
	}
}

func run(ctx context.Context, o *Options) error {
	var answer *operator.BurnResponse
	err := o.Factory.Call(func(client operator.Operator) (err error) {
		answer, err = client.Burn(ctx, &operator.BurnRequest{})
		return err
	})
	if err != nil {
		return err
	}
	if len(answer.GetUnreachedVms()) > 0 {
		fmt.Fprintf(o.Factory.Streams.Err, "these VMs did not answer; their requests are missing: %s\n", strings.Join(answer.GetUnreachedVms(), ", "))
	}
	if o.HTML != "" {
		return writePage(o.HTML, answer)
	}
	rows := [][]string{}
	for _, r := range answer.GetRows() {
		rows = append(rows, []string{
			r.GetOrganisation(), r.GetRoute(), r.GetRegion(), time.Duration(r.GetWindowNanoseconds()).String(),
			fmt.Sprint(r.GetTotal()), fmt.Sprint(r.GetBad()), fmt.Sprintf("%.2f", r.GetBurn()),
		})
	}
	return o.Factory.Print([]string{"organisation", "route", "region", "window", "total", "bad", "burn"}, rows)
}
