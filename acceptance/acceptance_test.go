// Package acceptance tests clusters of real kingcuprilld processes through their
// outer interfaces. The scripts in testdata (testscript format) start VMs and
// simulated targets, inject faults such as killed VMs and cut links, and check
// what callers and operators are told. Further tests record requests under such
// faults and check that catalogue changes are linearizable and that a booking, a
// request which must not be repeated, runs at most once.
package acceptance

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// daemonPath is the path of the kingcuprilld binary, built once for all tests.
var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "kingcuprill-acceptance-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	daemonPath = filepath.Join(folder, "kingcuprilld")
	arguments := []string{"build", "-o", daemonPath}
	if raceEnabled {
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "kingcuprill/cmd/kingcuprilld")...)
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			s := newScenario(env.WorkDir)
			env.Values[scenarioKey{}] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: commands(),
	})
}
