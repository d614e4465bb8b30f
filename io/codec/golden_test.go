package codec_test

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcuprill/core/control"
	"kingcuprill/io/codec"
	"kingcuprill/rpc/state"
)

// update writes the golden file. It is used in a working tree of the production version.
var update = flag.Bool("update", false, "write testdata/log.hex from this build")

const goldenLog = "testdata/log.hex"

// goldenCommands returns commands of each kind, some of which fail.
func goldenCommands() (commands []*state.Command) {
	change := func(id string, c *state.Change) {
		commands = append(commands, &state.Command{RequestId: id, AnyRevision: true, Kind: &state.Command_Change{Change: c}})
	}
	organisation := func(name string, rate float64) *state.Change {
		return &state.Change{Kind: &state.Change_PutOrganisation{PutOrganisation: &state.Organisation{Name: name, RatePerSecond: rate, Burst: 2 * rate, Weight: 1}}}
	}
	hash := strings.Repeat("ab", 32)
	route := &state.Route{Name: "plans", Kind: "model", Service: "planner", Models: []string{"lantern"}, Organisations: []string{"puja"}, Repeatable: true, DeadlineNanoseconds: 4e10, Priority: 1}
	change("r1", organisation("puja", 100))
	change("r1", organisation("puja", 100))
	change("r2", organisation("", -1))
	change("r3", &state.Change{Kind: &state.Change_GrantKey{GrantKey: &state.Key{Id: "web", Organisation: "puja", SecretHash: hash}}})
	change("r4", &state.Change{Kind: &state.Change_PutRoute{PutRoute: route}})
	change("r5", &state.Change{Kind: &state.Change_PutResidency{PutResidency: &state.Residency{Name: "west", Organisation: "puja", Regions: []string{"kolkata"}}}})
	change("r6", &state.Change{Kind: &state.Change_PutVm{PutVm: &state.VM{Id: "kolkata-1", Region: "kolkata", DataCentre: "kolkata-a", PeerAddress: "10.0.0.1:7600", CallerAddress: "10.0.0.1:80"}}})
	change("", &state.Change{Kind: &state.Change_SettleVms{SettleVms: 5}})
	change("r7", &state.Change{Kind: &state.Change_WithdrawKey{WithdrawKey: "web"}})
	change("r8", &state.Change{Kind: &state.Change_RemoveRoute{RemoveRoute: "unknown"}})
	change("", &state.Change{Kind: &state.Change_PutPlan{PutPlan: &state.Plan{Version: 3, Document: []byte(`{"version":3}`)}}})
	change("", &state.Change{Kind: &state.Change_PutPlan{PutPlan: &state.Plan{Version: 2, Document: []byte(`{"version":2}`)}}})
	change("", &state.Change{Kind: &state.Change_SetEvacuation{SetEvacuation: &state.Evacuation{DataCentre: "kolkata-a"}}})
	change("r9", &state.Change{Kind: &state.Change_RemoveVm{RemoveVm: "kolkata-1"}})
	change("r10", &state.Change{Kind: &state.Change_ConfirmStoppedVm{ConfirmStoppedVm: "kolkata-1"}})
	for i, outcome := range []string{"done", "not_run", "unknown", ""} {
		key, claim, now := "k"+outcome, "c"+outcome, int64(1e9)*int64(i+1)
		commands = append(commands, &state.Command{Kind: &state.Command_Claim{Claim: &state.Claim{
			Organisation: "puja", IdempotencyKey: key, Digest: "d", Owner: "kolkata-1", ClaimId: claim, NowUnixNanoseconds: now,
		}}})
		if outcome != "" {
			commands = append(commands, &state.Command{Kind: &state.Command_Finish{Finish: &state.Finish{
				Organisation: "puja", IdempotencyKey: key, ClaimId: claim, Outcome: outcome, Status: 201, ContentType: "text/plain",
				Body: []byte("answer"), Withheld: outcome == "done", NowUnixNanoseconds: now + 5,
			}}})
		}
	}
	for _, holder := range []string{"kolkata-1", "siliguri-1"} {
		commands = append(commands, &state.Command{Kind: &state.Command_Orders{Orders: &state.Orders{Holder: holder, NowUnixNanoseconds: 9e9, DurationNanoseconds: 5e9}}})
	}
	return commands
}

// replay applies encoded commands and returns the encoded state.
func replay(t *testing.T, log [][]byte) []byte {
	t.Helper()
	s := control.New()
	for _, data := range log {
		message := &state.Command{}
		if err := proto.Unmarshal(data, message); err != nil {
			t.Fatal(err)
		}
		command, err := codec.ToCommand(message)
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(command)
	}
	data, err := codec.EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestLogOfProduction applies the log of a production build, and reads the snapshot that
// it made of that. Both must give the state of that build, byte for byte: replicas of the
// two builds must not differ.
func TestLogOfProduction(t *testing.T) {
	if *update {
		writeGolden(t)
	}
	text, err := os.ReadFile(goldenLog)
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]byte
	for line := range strings.Lines(string(text)) {
		row, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row)
	}
	log, snapshot := rows[:len(rows)-1], rows[len(rows)-1]
	if got := replay(t, log); !bytes.Equal(got, snapshot) {
		t.Errorf("the log gives another state than in production:\n%x\nwant\n%x", got, snapshot)
	}
	read, err := codec.DecodeState(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := codec.EncodeState(read); err != nil || !bytes.Equal(again, snapshot) {
		t.Errorf("the snapshot is written again as %x (%v), want %x", again, err, snapshot)
	}
}

// writeGolden writes the commands and the state that follows, one a line.
func writeGolden(t *testing.T) {
	t.Helper()
	var log [][]byte
	for _, command := range goldenCommands() {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, data)
	}
	var out strings.Builder
	for _, row := range append(log, replay(t, log)) {
		out.WriteString(hex.EncodeToString(row) + "\n")
	}
	if err := os.WriteFile(goldenLog, []byte(out.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}
