package replica_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/raft"
)

// Changes that are asked for at once must be judged one after the other, each by the set
// that the one before has left: two voters that stop at once may both have seen one to
// spare.
func TestChangesAreAllowedByTheSetInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, contents := saved(t, nil)
		r, _ := run(t, store, contents)
		time.Sleep(5 * time.Second)
		allow := func(status raft.Status) error {
			if len(status.Membership.Learners) > 0 {
				return errors.New("there is a learner already")
			}
			return nil
		}
		var calls sync.WaitGroup
		for i := range 20 {
			calls.Go(func() {
				_, _ = r.ChangeMembership(t.Context(), raft.AddLearner, fmt.Sprint("b", i), allow)
			})
		}
		calls.Wait()
		if learners := r.Status().Membership.Learners; len(learners) != 1 {
			t.Errorf("learners %v, want one", learners)
		}
	})
}
