package engine

import (
	"testing"

	"kingcuprill/core/exchange"
)

func FuzzParseEvent(f *testing.F) {
	f.Add([]byte(`data: {"exchange_id":"x","index":0,"text":"a"}`))
	f.Add([]byte(`data: [DONE]`))
	f.Add([]byte(`data:{"index":1e99}`))
	f.Fuzz(func(_ *testing.T, line []byte) {
		_, _, _ = parseEvent(line) // must not panic
	})
}

// TestCrossedAndRepeatedEvents expects each token once and in order although
// events are repeated, and an error if a token is missing.
func TestCrossedAndRepeatedEvents(t *testing.T) {
	got := ""
	s := &stream{events: make(chan int, 1), sink: func(token exchange.Token) error { got += token.Text; return nil }}
	for _, event := range []eventJSON{{Index: 0, Text: "a"}, {Index: 0, Text: "a"}, {Index: 1, Text: "b"}, {Index: 0, Text: "a"}} {
		if done, err := s.handle(event); done || err != nil {
			t.Fatalf("event %+v: done %t, error %v", event, done, err)
		}
	}
	if got != "ab" {
		t.Fatalf("tokens %q, want \"ab\"", got)
	}
	if _, err := s.handle(eventJSON{Index: 3, Text: "d"}); err == nil {
		t.Fatal("a missing token was accepted")
	}
	short := eventJSON{Done: true}
	short.Usage.CompletionTokens = 5
	if done, err := s.handle(short); done || err == nil {
		t.Fatal("an answer with fewer tokens than the engine counts was accepted")
	}
}
