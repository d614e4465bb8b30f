package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/quarantine"
)

// TestStrikes refuses a fingerprint after crashes of two boots, not after the
// same crash told twice, and clears one whose request ran to its end.
func TestStrikes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := quarantine.NewList()
		list.Struck("innocent", "t1/a")
		list.Struck("cause", "t1/a")
		if list.Struck("cause", "t1/a") || !list.IsSuspect("cause") {
			t.Fatal("one crash told twice counts as two, or not as one")
		}
		list.Cleared("innocent")
		if list.IsSuspect("innocent") || list.Struck("innocent", "t2/b") {
			t.Fatal("a request that ran to its end keeps its strike")
		}
		if !list.Struck("cause", "t2/b") || !list.Refused("cause") || list.Refused("innocent") {
			t.Fatal("two crashes do not refuse their cause, and it alone")
		}
		other := quarantine.NewList()
		other.Refuse([]string{"cause"})
		if !other.Refused("cause") {
			t.Fatal("another VM's refusal was not taken in")
		}
		time.Sleep(quarantine.Duration + time.Second)
		if list.Refused("cause") || list.IsSuspect("cause") {
			t.Fatal("the quarantine does not end")
		}
		list.Expire()
		list.Refuse([]string{"again"})
		if !list.Refused("again") {
			t.Fatal("nothing is refused after the list was empty")
		}
	})
}
