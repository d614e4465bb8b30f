package front

import (
	"net/http"
	"testing"

	"kingcuprill/core/plan"
)

// malformedAnswers are answers that break the grammar of HTTP, by what is wrong.
func malformedAnswers() (answers map[string]string) {
	answers = map[string]string{}
	for _, code := range []string{"000", "00", "0", "001", "099", "100", "101", "20", "2 00", "-20", "+20", "0200", "1000", "2x0"} {
		answers["status "+code] = "HTTP/1.1 " + code + " OK\r\nId: ID\r\nSeal: x\r\nContent-Length: 4\r\n\r\nfine"
	}
	return answers
}

// A malformed answer is none, and the request may have run.
func TestMalformedAnswersAreNotDelivered(t *testing.T) {
	for name, answer := range malformedAnswers() {
		for door := range doors {
			t.Run(name+", "+door, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T, v *virtual) {
					for _, kind := range []plan.Kind{plan.NonIdempotent, plan.Stream} {
						checkMalformed(t, v, kind, answer, door)
					}
				})
			})
		}
	}
}

func checkMalformed(t *testing.T, v *virtual, kind plan.Kind, answer, door string) {
	t.Helper()
	s := v.target(t, writing(answer, true))
	code, body, _ := doors[door](t, v, plan.Route{Kind: kind, Attempts: 3}, s).ask(t, "k")
	if code != http.StatusBadGateway {
		t.Errorf("kind %v: status %d, body %q", kind, code, body)
	}
	if got := s.count(); got != 1 {
		t.Errorf("kind %v: sent %d times", kind, got)
	}
}
