package front

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"kingcuprill/core/plan"
)

// malformedAnswers are answers that break the grammar of HTTP, by what is wrong.
func malformedAnswers() (answers map[string]string) {
	answers = map[string]string{}
	for _, code := range []string{"000", "00", "0", "001", "099", "100", "101", "20", "2 00", "-20", "+20", "0200", "1000", "2x0"} {
		answers["status "+code] = "HTTP/1.1 " + code + " OK\r\nId: ID\r\nSeal: x\r\nContent-Length: 4\r\n\r\nfine"
	}
	answers["chunks of HTTP/1.0"] = "HTTP/1.0 200 OK\r\nId: ID\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"
	addMalformedNames(answers)
	return answers
}

// addMalformedNames adds answers in whose head the name of a field is empty or holds a blank or
// a control byte.
func addMalformedNames(answers map[string]string) {
	for name, rest := range map[string]string{
		"Seal":              "Seal: x\r\nContent-Length: 4\r\n\r\nfine",
		"Content-Length":    "Seal: x\r\nContent-Length: 4\r\n\r\nfine",
		"Transfer-Encoding": "Seal: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	} {
		for _, odd := range []string{" ", "\t", "\x00", "\x01", "\v", "\f", "\r", "\x1b", "\x1f", "\x7f"} {
			for _, malformed := range []string{"", odd + name, name[:2] + odd + name[2:], name + odd} {
				answers[fmt.Sprintf("name %q for %s", malformed, name)] = "HTTP/1.1 200 OK\r\nId: ID\r\nOther: y\r\n" + strings.Replace(rest, name+":", malformed+":", 1)
			}
		}
	}
}

// A malformed answer must not be delivered, and its request counts as one that may have run.
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
