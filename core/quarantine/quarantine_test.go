package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/quarantine"
)

// TestRefusedAfterTwoCrashes checks that a fingerprint is refused after crashes of two boots, not
// after two reports of one crash, and cleared once its request ran to its end.
func TestRefusedAfterTwoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := quarantine.NewList()
		list.RecordCrash("innocent", "t1/a")
		list.RecordCrash("cause", "t1/a")
		if list.RecordCrash("cause", "t1/a") || !list.IsSuspect("cause") {
			t.Fatal("two reports of one crash count as two, or as none")
		}
		list.Clear("innocent")
		if list.IsSuspect("innocent") || list.RecordCrash("innocent", "t2/b") {
			t.Fatal("a request that ran to its end is still suspect, or refused after one more crash")
		}
		if !list.RecordCrash("cause", "t2/b") || !list.Refused("cause") || list.Refused("innocent") {
			t.Fatal("two crashes do not refuse exactly the fingerprint that was in flight at both")
		}
		other := quarantine.NewList()
		other.Refuse([]string{"cause"})
		if !other.Refused("cause") {
			t.Fatal("a fingerprint that another VM refuses is not refused here")
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
