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

// TestCrossedAndRepeatedEvents expects each token of the own exchange once and
// in order, and an error where one is missing.
func TestCrossedAndRepeatedEvents(t *testing.T) {
	got := ""
	s := &stream{alive: make(chan int, 1), sink: func(token exchange.Token) error { got += token.Text; return nil }}
	for _, event := range []eventJSON{{Index: 0, Text: "a"}, {Index: 0, Text: "a"}, {Index: 1, Text: "b"}, {Index: 0, Text: "a"}} {
		if done, err := s.take(event); done || err != nil {
			t.Fatalf("event %+v: done %t, error %v", event, done, err)
		}
	}
	if got != "ab" {
		t.Fatalf("tokens %q, want \"ab\"", got)
	}
	if _, err := s.take(eventJSON{Index: 3, Text: "d"}); err == nil {
		t.Fatal("a missing token was not noticed")
	}
	short := eventJSON{Done: true}
	short.Usage.CompletionTokens = 5
	if done, err := s.take(short); done || err == nil {
		t.Fatal("an answer that is shorter than the engine counts was taken for whole")
	}
}
