package grant

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/twitchtv/twirp"

	"kingcuprill/io/cli/factory"
	"kingcuprill/rpc/operator"
)

// lossyOperator commits changes but loses its first answer.
type lossyOperator struct {
	operator.Operator
	requests []*operator.MutateRequest
}

func (l *lossyOperator) GetCatalogue(context.Context, *operator.GetCatalogueRequest) (*operator.GetCatalogueResponse, error) {
	return &operator.GetCatalogueResponse{}, nil
}

func (l *lossyOperator) Mutate(_ context.Context, request *operator.MutateRequest) (*operator.MutateResponse, error) {
	l.requests = append(l.requests, request)
	if len(l.requests) == 1 {
		return nil, twirp.InternalError("connection reset")
	}
	return &operator.MutateResponse{Revision: 7}, nil
}

// TestLostAnswer loses the answer to a grant. The secret must be printed, and the
// repeated command must send the same change.
func TestLostAnswer(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("t"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	vm := &lossyOperator{}
	f := factory.New(factory.Streams{Out: &out, Err: &out})
	f.VMs, f.TokenFile = "vm:1", token
	f.Dial = func(string, string) operator.Operator { return vm }

	first := &Options{Factory: f, ID: "web", Organisation: "puja", Mutation: factory.Mutation{ExpectedRevision: -1}}
	err := run(context.Background(), first)
	if err == nil {
		t.Fatal("the lost answer is not reported")
	}
	secret := strings.TrimSpace(out.String())
	sum := sha256.Sum256([]byte(secret))
	hash := hex.EncodeToString(sum[:])
	id := vm.requests[0].GetRequestId()
	for _, want := range []string{"--request-id " + id, "--secret-hash " + hash} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the advice %q doesn't name %s", err, want)
		}
	}

	out.Reset()
	second := &Options{Factory: f, ID: "web", Organisation: "puja", SecretHash: hash, Mutation: factory.Mutation{RequestID: id, ExpectedRevision: -1}}
	if err := run(context.Background(), second); err != nil {
		t.Fatal(err)
	}
	if vm.requests[1].String() != vm.requests[0].String() {
		t.Errorf("the repeated command sends %v, the first one %v", vm.requests[1], vm.requests[0])
	}
	if strings.Contains(out.String(), "kc_") {
		t.Errorf("the repeated command prints another secret: %s", out.String())
	}
}

// TestSecretHashIsChecked expects an error that names the flag and its value.
func TestSecretHashIsChecked(t *testing.T) {
	err := run(context.Background(), &Options{Factory: factory.New(factory.Streams{}), ID: "web", SecretHash: "12ab"})
	if err == nil || !strings.Contains(err.Error(), `--secret-hash "12ab"`) {
		t.Errorf("error %v", err)
	}
}
