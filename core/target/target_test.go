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
	var admitted atomic.Int64
	var group sync.WaitGroup
	begin := make(chan struct{})
	for range requests {
		group.Go(func() {
			<-begin
			if live.AdmitSuspect() {
				admitted.Add(1)
			}
		})
	}
	close(begin)
	group.Wait()
	if admitted.Load() != 1 {
		t.Fatalf("%d of %d suspects run at the same time", admitted.Load(), requests)
	}
	live.ReleaseSuspect()
	if !live.AdmitSuspect() {
		t.Error("the target admits no suspect after the first one has ended")
	}
}
