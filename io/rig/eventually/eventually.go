// Package eventually helps tests to wait for what comes about in its own time.
package eventually

import (
	"testing"
	"time"
)

// patience bounds each wait; nothing that is waited for takes nearly so long.
const patience = 10 * time.Second

// Until waits until a condition is met and fails the test where it isn't.
func Until(t testing.TB, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}
