package codec_test

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"kingcuprill/io/rig/production"
)

// readFirst lists the fields of log messages, as "message number", that this build reads
// and doesn't write yet, since the production version doesn't know them.
var readFirst = map[string]bool{}

// logRoots are the messages that replicas store, or send each other as entries of the log.
var logRoots = []string{"Command", "Snapshot", "Entry", "HardState", "LogSnapshot"}

var (
	messageLine  = regexp.MustCompile(`^message (\w+) \{`)
	fieldLine    = regexp.MustCompile(`^\s+((?:repeated |optional )?[\w.]+) (\w+) = (\d+);`)
	reservedLine = regexp.MustCompile(`^\s+reserved ([\d, ]+);`)
	callLine     = regexp.MustCompile(`^\s+rpc (\w+\(.*\));`)
)

// schema is the content of a schema file: messages with their fields by number, and calls.
type schema struct {
	fields map[string]map[string]string // type and name, or "reserved"
	calls  map[string]bool
}

func parseSchema(text string) schema {
	s := schema{fields: map[string]map[string]string{}, calls: map[string]bool{}}
	message := ""
	for line := range strings.Lines(text) {
		if found := messageLine.FindStringSubmatch(line); found != nil {
			message = found[1]
			s.fields[message] = map[string]string{}
		}
		if found := fieldLine.FindStringSubmatch(line); found != nil {
			s.fields[message][found[3]] = found[1] + " " + found[2]
		}
		if found := reservedLine.FindStringSubmatch(line); found != nil {
			for number := range strings.SplitSeq(found[1], ",") {
				s.fields[message][strings.TrimSpace(number)] = "reserved"
			}
		}
		if found := callLine.FindStringSubmatch(line); found != nil {
			s.calls[found[1]] = true
		}
	}
	return s
}

// inLog returns the messages that logRoots contain, and these.
func (s schema) inLog() (names map[string]bool) {
	names = map[string]bool{}
	for left := logRoots; len(left) > 0; left = left[1:] {
		if fields := s.fields[left[0]]; fields != nil && !names[left[0]] {
			names[left[0]] = true
			for field := range maps.Values(fields) {
				kind, _, _ := strings.Cut(strings.TrimPrefix(field, "repeated "), " ")
				left = append(left, kind)
			}
		}
	}
	return names
}

// TestSchemaFitsProduction compares the schema files with those of the production version.
// Fields keep number, type and name or become reserved, calls stay, and messages of the
// log get no field but those that this build only reads.
func TestSchemaFitsProduction(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, name := range []string{"rpc/state/state.proto", "rpc/vm/vm.proto", "rpc/entry/entry.proto", "rpc/operator/operator.proto", "rpc/target/target.proto"} {
		text, err := production.File(root, name)
		if err != nil {
			t.Fatal(err)
		}
		present, err := os.ReadFile(filepath.Join(root, name))
		if err != nil {
			t.Fatal(err)
		}
		compare(t, name, parseSchema(text), parseSchema(string(present)))
	}
}

func compare(t *testing.T, name string, old, present schema) {
	t.Helper()
	for call := range old.calls {
		if !present.calls[call] {
			t.Errorf("%s: production calls %s, which is gone", name, call)
		}
	}
	for message, fields := range old.fields {
		for number, field := range fields {
			if now := present.fields[message][number]; now != field && now != "reserved" {
				t.Errorf("%s: field %s of %s is %q, production has %q", name, number, message, now, field)
			}
		}
	}
	for message := range present.inLog() {
		for number, field := range present.fields[message] {
			if old.fields[message][number] == "" && !readFirst[message+" "+number] {
				t.Errorf("%s: replicas of production stop at field %s of %s, %q", name, number, message, field)
			}
		}
	}
}
