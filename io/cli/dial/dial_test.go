package dial

import (
	"strings"
	"testing"

	"kingcuprill/io/rig/rawpeer"
	"kingcuprill/rpc/operator"
)

// revision7 is the answer to a change that is in force with revision 7.
const revision7 = "\x08\x07"

func mutate(t *testing.T, p rawpeer.Peer, size int) (revision uint64, err error) {
	t.Helper()
	response, err := Operator(p.Start(t), "token").Mutate(t.Context(), &operator.MutateRequest{RequestId: strings.Repeat("x", size)})
	return response.GetRevision(), err
}

func TestCallsAreAnswered(t *testing.T) {
	if revision, err := mutate(t, rawpeer.Peer{Answer: rawpeer.Part + revision7}, 1); err != nil || revision != 7 {
		t.Errorf("revision %d, error %v", revision, err)
	}
}

// A malformed answer must not acknowledge a change.
func TestMalformedAnswersAcknowledgeNothing(t *testing.T) {
	for name, answer := range rawpeer.Malformed(revision7) {
		if revision, err := mutate(t, rawpeer.Peer{Answer: answer}, 1); err == nil {
			t.Errorf("%s: acknowledged with revision %d", name, revision)
		}
	}
}

// The begin of an answer must not acknowledge a change whose connection is reset while it is sent.
func TestAnswersResetInACallAcknowledgeNothing(t *testing.T) {
	for range 10 {
		if revision, err := mutate(t, rawpeer.Peer{Answer: rawpeer.Part, Reset: true}, rawpeer.LongBody); err == nil {
			t.Errorf("acknowledged with revision %d", revision)
		}
	}
}
