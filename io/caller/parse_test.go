package caller

import (
	"strings"
	"testing"

	"kingcuprill/core/fault"
)

func TestParseCompletion(t *testing.T) {
	for _, test := range []struct {
		name, body string
		chat       bool
		want       string // part of the error; empty: valid
	}{
		{"completion", `{"model":"m","prompt":"p"}`, false, ""},
		{"chat", `{"model":"m","messages":[{"role":"user","content":"p"}]}`, true, ""},
		{"no model", `{"prompt":"p"}`, false, "model: it must be set"},
		{"no prompt", `{"model":"m"}`, false, "prompt: it must be set"},
		{"no messages", `{"model":"m"}`, true, "messages: at least one"},
		{"wrong type", `{"model":"m","max_tokens":"many"}`, false, "max_tokens: a JSON string"},
		{"not JSON", `{`, false, "not valid JSON"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := parseCompletion([]byte(test.body), test.chat)
			if test.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), test.want) || fault.CodeOf(err) != fault.Invalid {
				t.Fatalf("error %v, want one with %q", err, test.want)
			}
		})
	}
}

func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":-1}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"content":{}}]}`), true)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		request, err := parseCompletion(data, chat)
		if err == nil && (request.Model == "" || request.Prompt == "") {
			t.Errorf("accepted without model or prompt: %q", data)
		}
	})
}
