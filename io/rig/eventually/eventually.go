// Package eventually lets tests wait for a condition by polling it.
package eventually

import (
	"testing"
	"time"
)

// timeout bounds each wait. It is far longer than any condition takes to come
// about.
const timeout = 10 * time.Second

// Until polls a condition every millisecond until it is met, and fails the test
// after ten seconds. What describes the condition in the failure message.
func Until(t testing.TB, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", timeout, what)
		}
	}
}
