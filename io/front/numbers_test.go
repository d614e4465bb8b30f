package front

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"kingcuprill/core/plan"
)

// numbers are texts that no sender means as a number, or that no type holds.
var numbers = []string{"1e400", "-1e400", "1e308", "-1", "NaN", "Infinity", "-Infinity", "9223372036854775807", "9223372036854775808", "18446744073709551616", "0x10", "", strings.Repeat("9", 3000)}

// Odd numbers in the answers of a target must change nothing for its callers.
func TestOddNumbersOfTargetsAreHarmless(t *testing.T) {
	for _, name := range []string{"Limit", "Brittle", "Retry-After", "Keep-Alive", "Leaving"} {
		for _, number := range numbers {
			t.Run(fmt.Sprintf("%s %.20s", name, number), func(t *testing.T) {
				value := number
				if name == "Keep-Alive" {
					value = "timeout=" + number
				}
				line := name + ": " + value + "\r\n"
				s := startTarget(t, status(200, line, "fine"), status(503, "Not-Run: 1\r\n"+line, ""), status(200, line, "fine"))
				w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 3}, s, s, s)
				w.server.Headers.Limit = "Limit"
				for range 3 {
					if code, body, _ := w.ask(t, "k"); code != http.StatusOK || body != "fine" {
						t.Errorf("status %d, body %q", code, body)
					}
				}
			})
		}
	}
}

// The numbers in a request must not overflow: neither its cost, which is charged to the
// organisation, nor the work that targets are predicted to have, nor its deadline.
func TestOddNumbersOfCallersStayInRange(t *testing.T) {
	const longest = time.Minute
	for _, number := range numbers {
		d := testHeaders.demand(http.Header{"Tokens": {number + "," + number}, "Parts": {"a:" + number + ",b:" + number}})
		sum := d.Prompt + d.Output
		for _, part := range d.Parts {
			sum += part.Tokens
		}
		if work := time.Duration(sum) * 40 * time.Microsecond; d.Prompt < 0 || d.Output < 0 || sum < 0 || work < 0 {
			t.Errorf("%.30s: %+v", number, d)
		}
		left := testHeaders.timeLeft(http.Header{"Left": {number}}, longest)
		if left != longest {
			t.Errorf("%.30s: time left %v", number, left)
		}
	}
	if d := testHeaders.demand(http.Header{"Tokens": {"1460, 80"}, "Parts": {"a:800,b:410"}}); d.Prompt != 1460 || d.Output != 80 || len(d.Parts) != 2 {
		t.Errorf("a usual demand is %+v", d)
	}
}

// Requests of huge cost must not fill the limit of their organisation.
func TestHugeCostAddsNoTokens(t *testing.T) {
	s := startTarget(t, status(200, "", "fine"))
	w := newFixture(t, plan.Route{Kind: plan.NonIdempotent, Attempts: 1}, s)
	for range 2 {
		if code, _, _ := w.ask(t, "p", "Tokens", "9223372036854775807,9223372036854775807"); code != http.StatusTooManyRequests {
			t.Errorf("status %d", code)
		}
	}
}
