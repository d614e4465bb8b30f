package peer

import (
	"strings"
	"testing"

	"kingcuprill/io/rig/rawpeer"
	rpc "kingcuprill/rpc/vm"
)

func withdraw(t *testing.T, p rawpeer.Peer, size int) error {
	t.Helper()
	_, err := NewUnsigned("vm").At(p.Start(t)).Withdraw(t.Context(), &rpc.WithdrawRequest{Keys: []string{strings.Repeat("x", size)}})
	return err
}

// A malformed answer of another VM must fail the call.
func TestMalformedAnswersOfVMsAreErrors(t *testing.T) {
	if err := withdraw(t, rawpeer.Peer{Answer: rawpeer.Part}, 1); err != nil {
		t.Errorf("a sound answer: %v", err)
	}
	for name, answer := range rawpeer.Malformed("") {
		if withdraw(t, rawpeer.Peer{Answer: answer}, 1) == nil {
			t.Errorf("%s: the call succeeded", name)
		}
	}
}

// The begin of an answer must fail a call whose connection is reset while it is sent.
func TestAnswersOfVMsResetInACallAreErrors(t *testing.T) {
	for range 10 {
		if withdraw(t, rawpeer.Peer{Answer: rawpeer.Part, Reset: true}, rawpeer.LongBody) == nil {
			t.Error("the call succeeded")
		}
	}
}
