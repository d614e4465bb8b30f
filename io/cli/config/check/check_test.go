package check_test

import (
	"context"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"kingcuprill/io/cli/factory"
	"kingcuprill/io/cli/root"
	"kingcuprill/platform/document"
)

// TestScripts runs the command with documents of the scripts. They guard against faults
// that are accepted, entries that are reported without a fault, and keys in the output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireExplicitExec: true, Cmds: map[string]func(*testscript.TestScript, bool, []string){"check": check}})
}

// check runs 'config check' and compares its exit code with the first argument.
func check(ts *testscript.TestScript, _ bool, args []string) {
	arguments := []string{"config", "check"}
	for _, arg := range args[1:] {
		if strings.HasSuffix(arg, ".json") && !strings.HasPrefix(arg, "--") {
			arg = ts.MkAbs(arg)
		}
		arguments = append(arguments, arg)
	}
	plans := factory.Plans{MaxBytes: 4000, DecodeNew: document.DecodeNew, DecodeInForce: document.Decode}
	streams := factory.Streams{In: strings.NewReader(""), Out: ts.Stdout(), Err: ts.Stderr()}
	if code := root.Main(context.Background(), arguments, streams, factory.WithPlans(plans)); strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code %d, want %s", code, args[0])
	}
}
