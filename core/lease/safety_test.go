package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// safetySeeds is the number of simulated runs, with questions that are delayed,
// lost and reordered, control VMs that lag, suspensions of the VM and changes at
// any moment. Invariant: once a revision has been acknowledged for longer than
// revokeWithin, no request runs with an older one.
const safetySeeds = 1500

const (
	revokeWithin = 5 * time.Second
	// maxCheckToRun limits the time between the check of the lease and the run of
	// the request.
	maxCheckToRun = 900 * time.Millisecond
)

// event is an action at a time of the run.
type event struct {
	at time.Duration
	do func(now time.Duration)
}

// simulation is one VM with its lease, and the control log as a majority of its
// replicas has committed it.
type simulation struct {
	t              *testing.T
	random         *rand.Rand
	seed           uint64
	now            time.Duration
	lease          *Lease
	events         []event
	revision       int             // newest that a majority has committed
	acknowledged   []time.Duration // time of acknowledgement, by revision
	heldRevision   int             // revision that the VM uses
	suspendedUntil time.Duration   // end of the VM's suspension
	requestsRun    int
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 4)), seed: seed, acknowledged: []time.Duration{0}}
	s.lease = New(func() time.Duration { return s.now }, revokeWithin-maxCheckToRun)
	return s
}

func (s *simulation) after(wait time.Duration, do func(now time.Duration)) {
	s.events = append(s.events, event{at: s.now + wait, do: do})
}

func (s *simulation) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// whenAwake runs an action on the VM, now or at the end of its suspension.
func (s *simulation) whenAwake(do func(now time.Duration)) func(now time.Duration) {
	return func(now time.Duration) {
		if now < s.suspendedUntil {
			s.events = append(s.events, event{at: s.suspendedUntil, do: do})
			return
		}
		do(now)
	}
}

// commitRevision commits a revision, which is acknowledged up to 300 ms later.
func (s *simulation) commitRevision(time.Duration) {
	s.revision++
	s.acknowledged = append(s.acknowledged, 1<<62)
	committed := s.revision
	s.after(s.randomUpTo(300*time.Millisecond), func(now time.Duration) { s.acknowledged[committed] = now })
	s.after(s.randomUpTo(2*time.Second), s.commitRevision)
}

// sendQuestion asks for the newest revision. A majority confirms its revision
// within 3 s; the answer takes up to 4 s more, is lost, or has no catalogue.
func (s *simulation) sendQuestion(time.Duration) {
	sent := s.lease.Now()
	s.after(s.randomUpTo(3*time.Second), func(time.Duration) {
		confirmed := s.revision
		if s.random.IntN(5) == 0 {
			return // lost
		}
		hasCatalogue := s.random.IntN(3) > 0
		s.after(s.randomUpTo(4*time.Second), s.whenAwake(func(time.Duration) {
			if hasCatalogue {
				s.heldRevision = max(s.heldRevision, confirmed)
			}
			if s.heldRevision >= confirmed {
				s.lease.Confirm(sent)
			}
		}))
	})
	s.after(s.randomUpTo(time.Second), s.whenAwake(s.sendQuestion))
}

// serve checks the lease and runs a request up to maxCheckToRun later, even if
// the VM is suspended in between.
func (s *simulation) serve(time.Duration) {
	if s.lease.Valid() {
		heldRevision := s.heldRevision
		s.after(s.randomUpTo(maxCheckToRun), func(now time.Duration) { s.checkRun(heldRevision, now) })
	}
	s.after(s.randomUpTo(50*time.Millisecond), s.whenAwake(s.serve))
}

func (s *simulation) checkRun(heldRevision int, now time.Duration) {
	s.requestsRun++
	for revision := heldRevision + 1; revision < len(s.acknowledged); revision++ {
		if age := now - s.acknowledged[revision]; age > revokeWithin {
			s.t.Fatalf("seed %d: at %v a request ran with revision %d, %d was acknowledged %v ago", s.seed, now, heldRevision, revision, age)
		}
	}
}

func (s *simulation) suspend(now time.Duration) {
	s.suspendedUntil = now + s.randomUpTo(8*time.Second)
	s.after(s.randomUpTo(10*time.Second), s.suspend)
}

// run plays a VM to which requests come in the way that begin begins.
func (s *simulation) run(length time.Duration, begin func(now time.Duration)) {
	s.sendQuestion(0)
	begin(0)
	s.after(s.randomUpTo(2*time.Second), s.commitRevision)
	s.after(s.randomUpTo(10*time.Second), s.suspend)
	for len(s.events) > 0 {
		next := slices.MinFunc(s.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		if next.at > length {
			return
		}
		i := slices.IndexFunc(s.events, func(e event) bool { return e.at == next.at })
		s.events = slices.Delete(s.events, i, i+1)
		s.now = next.at
		next.do(next.at)
	}
}

func TestNothingRunsWithWhatWasRevoked(t *testing.T) {
	requestsRun := 0
	for seed := range uint64(safetySeeds) {
		s := newSimulation(t, seed)
		s.run(20*time.Second, s.serve)
		requestsRun += s.requestsRun
	}
	if requestsRun < safetySeeds {
		t.Errorf("%d requests ran over %d seeds: want at least one a seed", requestsRun, safetySeeds)
	}
}
