package target

import (
	"sync"
	"sync/atomic"
	"testing"
)

// Requests that were in flight at a crash are retried at the same moment and find
// the same target without a suspect. Only one may run there: otherwise a harmless
// one is counted for the second crash too, and quarantined.
func TestOneSuspectAtATime(t *testing.T) {
	const requests = 64
	var live Live
	var taken atomic.Int64
	var group sync.WaitGroup
	begin := make(chan struct{})
	for range requests {
		group.Go(func() {
			<-begin
			if live.AdmitSuspect() {
				taken.Add(1)
			}
		})
	}
	close(begin)
	group.Wait()
	if taken.Load() != 1 {
		t.Fatalf("%d of %d suspects run beside each other", taken.Load(), requests)
	}
	live.ReleaseSuspect()
	if !live.AdmitSuspect() {
		t.Error("the target takes no suspect after the first one has ended")
	}
}
