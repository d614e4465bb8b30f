// Package production builds the version of the programs that runs in production, from
// the history of the repository, so that tests can run it beside the present one.
package production

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"kingcuprill/core/fault"
)

// settingsFile names the production version, below the root of the repository.
const settingsFile = "deploy/system.toml"

var versionKey = regexp.MustCompile(`(?m)^production\s*=\s*"([0-9a-f]+)"`)

// Build builds one of the programs of cmd/ in a folder and returns its path. It fails if
// the clone that holds the working folder lacks the commit.
func Build(folder, program string) (binary string, err error) {
	defer fault.Annotate(&err, "build the production version of %s", program)
	root, err := git("", "", "rev-parse", "--show-toplevel")
	if err != nil {
		return "", err
	}
	commit, err := Commit(root)
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", err
	}
	source := filepath.Join(folder, "source")
	if err := checkOut(root, commit, source); err != nil {
		return "", err
	}
	binary = filepath.Join(folder, program)
	// With trimmed paths, a later build finds its parts in the cache.
	build := exec.Command("go", "build", "-trimpath", "-o", binary, "./cmd/"+program)
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
}

// Commit returns the commit that the settings in a repository name. It fails if the
// repository lacks it.
func Commit(root string) (commit string, err error) {
	settings, err := os.ReadFile(filepath.Join(root, settingsFile))
	if err != nil {
		return "", err
	}
	found := versionKey.FindSubmatch(settings)
	if found == nil {
		return "", fmt.Errorf("%s names no production version", settingsFile)
	}
	commit = string(found[1])
	if _, err := git(root, "", "cat-file", "-e", commit+"^{commit}"); err != nil {
		return "", fmt.Errorf("this clone lacks commit %s; fetch its whole history: %w", commit, err)
	}
	return commit, nil
}

// File returns the content of a file in the production version of a repository.
func File(root, name string) (content string, err error) {
	defer fault.Annotate(&err, "read %s of the production version", name)
	commit, err := Commit(root)
	if err != nil {
		return "", err
	}
	return git(root, "", "show", commit+":"+name)
}

// checkOut writes the files of a commit to a folder. It uses an index of its own, so that
// the working tree and its index stay as they are.
func checkOut(root, commit, folder string) error {
	own := "GIT_INDEX_FILE=" + folder + ".index"
	if _, err := git(root, own, "read-tree", commit); err != nil {
		return err
	}
	_, err := git(root, own, "checkout-index", "-a", "--prefix="+folder+"/")
	return err
}

// git runs git in a folder, with one more variable of the environment.
func git(folder, variable string, arguments ...string) (output string, err error) {
	defer fault.Annotate(&err, "git %s", strings.Join(arguments, " "))
	command := exec.Command("git", arguments...)
	command.Dir = folder
	command.Env = append(os.Environ(), variable)
	out, err := command.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return strings.TrimSpace(string(out)), nil
}
