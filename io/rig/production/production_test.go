package production_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"kingcuprill/io/rig/production"
)

// TestCloneWithoutTheCommit expects an error that says what to do.
func TestCloneWithoutTheCommit(t *testing.T) {
	root := t.TempDir()
	if out, err := exec.Command("git", "init", root).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if err := os.Mkdir(filepath.Join(root, "deploy"), 0o700); err != nil {
		t.Fatal(err)
	}
	for settings, want := range map[string]string{
		`production = "0123abc"`: "lacks commit 0123abc; fetch its whole history",
		`build = "make"`:         "names no production version",
	} {
		if err := os.WriteFile(filepath.Join(root, "deploy", "system.toml"), []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := production.Commit(root); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that says %q", settings, err, want)
		}
	}
}
