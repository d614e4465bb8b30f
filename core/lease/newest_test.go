package lease

import (
	"flag"
	"testing"
	"time"
)

var newestSeeds = flag.Uint64("lease.seeds", 1500, "how many seeds TestNothingIsAdmittedByAnOlderPlan plays")

// admissions simulates requests that are admitted by the newest revision that the VM has.
type admissions struct {
	*simulation
	bound    time.Duration // of Within, 0 for the duration of the lease
	promised time.Duration // the longest time after an acknowledgement that an older revision may be used
	admitted int
}

func newAdmissions(t *testing.T, seed uint64) *admissions {
	a := &admissions{simulation: newSimulation(t, seed)}
	bounds := []time.Duration{0, 300 * time.Millisecond, 3 * time.Second, 4 * time.Second, time.Minute}
	durations := []time.Duration{200 * time.Millisecond, time.Second, revokeWithin - maxCheckToRun, 20 * time.Second}
	a.bound = bounds[a.random.IntN(len(bounds))]
	a.lease.duration = durations[a.random.IntN(len(durations))]
	a.promised = a.lease.duration
	if a.bound > 0 {
		a.promised = min(a.promised, a.bound)
	}
	return a
}

// arrive lets a request arrive. The VM looks at its lease and then reads its revision. It may be
// suspended before either, and answers to its questions come at any time.
func (a *admissions) arrive(arrived time.Duration) {
	look := func(time.Duration) {
		if !a.lease.Within(a.bound) {
			return
		}
		a.after(a.randomUpTo(5*time.Millisecond), a.whenAwake(func(time.Duration) { a.check(arrived, a.heldRevision) }))
	}
	a.after(a.randomUpTo(5*time.Millisecond), a.whenAwake(look))
	a.after(a.randomUpTo(50*time.Millisecond), a.arrive)
}

func (a *admissions) check(arrived time.Duration, held int) {
	a.admitted++
	for revision := held + 1; revision < len(a.acknowledged); revision++ {
		if age := arrived - a.acknowledged[revision]; age > a.promised {
			a.t.Fatalf("seed %d: a request that arrived at %v was admitted by revision %d; %d was acknowledged %v before, %v are promised", a.seed, arrived, held, revision, age, a.promised)
		}
	}
}

// No request that arrives more than the bound after an acknowledgement is admitted by an older
// revision, whatever the bound and the duration of the lease. Without it, a VM that was cut off
// ran requests where the newest plan forbids it.
func TestNothingIsAdmittedByAnOlderPlan(t *testing.T) {
	admitted := 0
	for seed := range *newestSeeds {
		a := newAdmissions(t, seed)
		a.run(20*time.Second, a.arrive)
		admitted += a.admitted
	}
	if uint64(admitted) < *newestSeeds {
		t.Errorf("%d requests were admitted over %d seeds: want at least one a seed", admitted, *newestSeeds)
	}
}
