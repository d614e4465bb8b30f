package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"kingcuprill/io/settings"
)

const examples = "../../examples"

// secretsFolder returns a folder that holds the files of the two secrets.
func secretsFolder(t testing.TB) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range []string{"secret", "token"} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte("0123456789abcdef\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(examples, "*", "*.json"))
	if err != nil || len(paths) != 12 {
		t.Fatalf("%d examples (%v), want 12", len(paths), err)
	}
	folder := secretsFolder(t)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		s, err := settings.Parse(data, folder)
		if err != nil {
			t.Errorf("%s: %v", path, err)
		}
		if s.Targets.Lease != 3*time.Second || string(s.Cluster.Secret) != "0123456789abcdef" {
			t.Errorf("%s: lease %v, secret %q", path, s.Targets.Lease, s.Cluster.Secret)
		}
	}
}

// TestEveryFaultIsNamed expects one error that names all invalid fields of a file,
// each with its value.
func TestEveryFaultIsNamed(t *testing.T) {
	text := `{
		"cluster": {"id": "Bad Name", "secret_file": "missing", "operator_token_file": "token", "colour": "red"},
		"vm": {"id": "a", "region": "r", "data_centre": "d", "peer_address": "localhost:1", "caller_address": "127.0.0.1:1",
			"target_address": "127.0.0.1:2", "operator_address": "127.0.0.1:3", "dial_through": [{"adress": "x"}]},
		"control": {"replicas": ["a"], "tick": "5m"},
		"targets": {"permitted_networks": ["10.0.0.0/99"], "lease": "soon"},
		"limits": {"max_body_bytes": 5},
		"policy": {"name": "best"}
	}`
	_, err := settings.Parse([]byte(text), secretsFolder(t))
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{
		`cluster.id: "Bad Name"`, `cluster.secret_file: "missing"`, "cluster.colour: the field is not known",
		`vm.peer_address: "localhost:1"`, "vm.dial_through[0].adress: the field is not known", "control.data_dir",
		`control.tick: "5m"`, `targets.permitted_networks[0]: "10.0.0.0/99"`, `targets.lease: "soon"`,
		`limits.max_body_bytes: "5"`, `policy.name: "best"`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not name %s:\n%v", want, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	paths, _ := filepath.Glob(filepath.Join(examples, "*", "*.json"))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"vm":{"dial_through":[[]]}}`))
	f.Add([]byte(`{"seeds":{"a":1},"limits":{"loans":"no"}}`))
	folder := secretsFolder(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data, folder)
		if err == nil && (s.VM.ID == "" || s.Targets.Lease <= 0 || len(s.Targets.PermittedNetworks) == 0) {
			t.Errorf("accepted without an id, a lease or networks: %+v", s)
		}
	})
}
