package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// These seeds take a lease through questions that are late, lost and crossed,
// control VMs that lag, suspensions of the VM and changes at any moment. The
// promise: nothing runs with a revision older than one that was acknowledged
// longer ago than the time to revoke.
const safetySeeds = 1500

const (
	revokeWithin = 5 * time.Second
	// way bounds what passes between the last look at the lease and the run.
	way = 900 * time.Millisecond
)

// event is something that happens at a moment of the run.
type event struct {
	at time.Duration
	do func(now time.Duration)
}

// world is one VM with its lease, and the control log as a majority has it.
type world struct {
	t            *testing.T
	random       *rand.Rand
	seed         uint64
	now          time.Duration
	lease        *Lease
	events       []event
	revision     int             // of the majority
	acknowledged []time.Duration // by revision
	held         int             // revision that the VM acts on
	awake        time.Duration   // the VM is suspended until then
	ran          int
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 4)), seed: seed, acknowledged: []time.Duration{0}}
	w.lease = New(func() time.Duration { return w.now }, revokeWithin-way)
	return w
}

func (w *world) after(wait time.Duration, do func(now time.Duration)) {
	w.events = append(w.events, event{at: w.now + wait, do: do})
}

func (w *world) upTo(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

// onVM does something on the VM, at once or when it wakes.
func (w *world) onVM(do func(now time.Duration)) func(now time.Duration) {
	return func(now time.Duration) {
		if now < w.awake {
			w.events = append(w.events, event{at: w.awake, do: do})
			return
		}
		do(now)
	}
}

// change commits a revision, which is acknowledged some time later.
func (w *world) change(time.Duration) {
	w.revision++
	w.acknowledged = append(w.acknowledged, 1<<62)
	mine := w.revision
	w.after(w.upTo(300*time.Millisecond), func(now time.Duration) { w.acknowledged[mine] = now })
	w.after(w.upTo(2*time.Second), w.change)
}

// ask sends a question: a majority confirms its revision at some moment on the
// way, and the answer brings it, or is lost, or brings no catalogue.
func (w *world) ask(time.Duration) {
	sent := w.lease.Now()
	w.after(w.upTo(3*time.Second), func(time.Duration) {
		confirmed := w.revision
		if w.random.IntN(5) == 0 {
			return // lost
		}
		brings := w.random.IntN(3) > 0
		w.after(w.upTo(4*time.Second), w.onVM(func(time.Duration) {
			if brings {
				w.held = max(w.held, confirmed)
			}
			if w.held >= confirmed {
				w.lease.Confirm(sent)
			}
		}))
	})
	w.after(w.upTo(time.Second), w.onVM(w.ask))
}

// serve looks at the lease and runs a request a moment later, even if the VM is
// suspended in between for less than the way allows.
func (w *world) serve(time.Duration) {
	if w.lease.Valid() {
		held := w.held
		w.after(w.upTo(way), func(now time.Duration) { w.ranWith(held, now) })
	}
	w.after(w.upTo(50*time.Millisecond), w.onVM(w.serve))
}

func (w *world) ranWith(held int, now time.Duration) {
	w.ran++
	for revision := held + 1; revision < len(w.acknowledged); revision++ {
		if age := now - w.acknowledged[revision]; age > revokeWithin {
			w.t.Fatalf("seed %d: at %v a request ran with revision %d, %d was acknowledged %v ago", w.seed, now, held, revision, age)
		}
	}
}

func (w *world) suspend(now time.Duration) {
	w.awake = now + w.upTo(8*time.Second)
	w.after(w.upTo(10*time.Second), w.suspend)
}

func (w *world) run(length time.Duration) {
	w.ask(0)
	w.serve(0)
	w.after(w.upTo(2*time.Second), w.change)
	w.after(w.upTo(10*time.Second), w.suspend)
	for len(w.events) > 0 {
		next := slices.MinFunc(w.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		if next.at > length {
			return
		}
		i := slices.IndexFunc(w.events, func(e event) bool { return e.at == next.at })
		w.events = slices.Delete(w.events, i, i+1)
		w.now = next.at
		next.do(next.at)
	}
}

func TestNothingRunsWithWhatWasRevoked(t *testing.T) {
	ran := 0
	for seed := range uint64(safetySeeds) {
		w := newWorld(t, seed)
		w.run(20 * time.Second)
		ran += w.ran
	}
	if ran < safetySeeds {
		t.Errorf("%d requests ran over %d seeds: the test proves little", ran, safetySeeds)
	}
}
