package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/quarantine"
)

const service = "s/m"

func request(fingerprint string, parts ...string) quarantine.Request {
	return quarantine.Request{Service: service, Organisation: "o", Parts: parts, Fingerprint: fingerprint}
}

func of(organisation string, r quarantine.Request) quarantine.Request {
	r.Organisation = organisation
	return r
}

// answer records that a request that begins now is answered well.
func answer(l *quarantine.List, r quarantine.Request) { l.Sound(l.Mark(), r) }

// A whole request, and a prompt part, is refused after two crashes of which one came
// in a trial; two reports of one crash, or two crashes without a trial, don't count so.
func TestRefusedAfterTwoCrashes(t *testing.T) {
	for _, cause := range []quarantine.Request{request("same"), request("", "deadly")} {
		l := quarantine.NewList()
		r := func(i int) quarantine.Request {
			again := cause
			if again.Fingerprint == "" {
				again.Fingerprint = fmt.Sprint("f", i)
			}
			return again
		}
		l.Report("1", "t1/1", r(1), true, false)
		l.Report("2", "t1/1", r(2), true, false)
		l.Report("3", "t2/1", r(3), true, false)
		if v := l.Judge(r(4)); v.Refused || !v.Suspect {
			t.Fatalf("%v before a trial: %+v", cause, v)
		}
		l.Report("4", "t3/1", r(4), true, true)
		if v := l.Judge(r(5)); !v.Refused {
			t.Errorf("%v after a trial: %+v", cause, v)
		}
		if v := l.Judge(request("other", "harmless")); v.Refused || v.Suspect {
			t.Errorf("another request: %+v", v)
		}
	}
}

// Parts that answers have used go on, though a request with them has crashed a target.
func TestSoundPartsGoOn(t *testing.T) {
	l := quarantine.NewList()
	answer(l, request("f0", "first", "document"))
	l.Report("1", "t1/1", request("f1", "first", "document", "deadly"), true, false)
	if v := l.Judge(request("f2", "first", "document")); v.Suspect {
		t.Errorf("parts known to be harmless are suspect: %+v", v)
	}
	if v := l.Judge(request("f3", "first", "deadly")); !v.Suspect {
		t.Errorf("the only other part isn't suspect: %+v", v)
	}
	// A VM that doesn't know the parts has reported the next crash.
	other := quarantine.NewList()
	l.Merge([]quarantine.Crash{other.Report("2", "t2/1", request("f4", "first", "document", "deadly"), true, true)})
	if v := l.Judge(request("f5", "deadly")); !v.Refused {
		t.Errorf("the deadly part alone: %+v", v)
	}
	if v := l.Judge(request("f6", "first", "document")); v.Refused {
		t.Errorf("harmless parts are refused: %+v", v)
	}
}

// An answer that began before the crash was known clears nothing: the part may have
// become deadly since.
func TestEarlierAnswersDoNotClear(t *testing.T) {
	l := quarantine.NewList()
	before := l.Mark()
	l.Report("1", "t1/1", request("f1", "p"), true, false)
	l.Sound(before, request("f2", "p"))
	if !l.Judge(request("f3", "p")).Suspect {
		t.Error("an answer that began before the crash has cleared the part")
	}
	answer(l, request("f4", "p"))
	if l.Judge(request("f5", "p")).Suspect {
		t.Error("a later answer has not cleared the part")
	}
}

// A part that was harmless and then crashes targets, with other weights for instance,
// is found too.
func TestPartThatTurnsDeadly(t *testing.T) {
	l := quarantine.NewList()
	answer(l, request("f0", "p"))
	for i := 1; !l.Judge(request("next", "p")).Refused; i++ {
		if i > 3 {
			t.Fatal("not refused after three crashes")
		}
		l.Report(fmt.Sprint(i), fmt.Sprint("t/", i), request(fmt.Sprint("f", i), "p"), true, l.Judge(request("next", "p")).Suspect)
	}
}

// Where the target had begun an answer, requests that only waited aren't suspect.
func TestWaitingRequestsAreNotSuspect(t *testing.T) {
	l := quarantine.NewList()
	l.Report("1", "t1/1", request("waiting", "document"), false, false)
	if !l.Judge(request("f", "document")).Suspect {
		t.Error("a request that waited isn't suspect, though no other one is known")
	}
	l.Report("2", "t1/1", request("begun", "deadly"), true, false)
	if l.Judge(request("f", "document")).Suspect || !l.Judge(request("f", "deadly")).Suspect {
		t.Error("not only the begun answer is suspect")
	}
}

// One organisation's crashes don't get another one's requests refused, until those
// crash targets too.
func TestOtherOrganisationsAreTried(t *testing.T) {
	l := quarantine.NewList()
	l.Report("1", "t1/1", request("f1", "p"), true, false)
	l.Report("2", "t2/1", request("f2", "p"), true, true)
	other := of("other", request("f3", "p"))
	if v := l.Judge(other); v.Refused || !v.Suspect || !l.Judge(request("f4", "p")).Refused {
		t.Fatalf("another organisation: %+v", v)
	}
	l.Report("3", "t3/1", other, true, true)
	if !l.Judge(of("third", request("f5", "p"))).Refused {
		t.Error("after crashes of two organisations, a third one's request isn't refused")
	}
}

// A refusal ends after a while with a trial. A further crash doubles it, an answer or
// an operator ends it.
func TestWayBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := quarantine.NewList()
		l.Report("1", "t1/1", request("f1", "p"), true, false)
		l.Report("2", "t2/1", request("f2", "p"), true, true)
		first := time.Until(l.Judge(request("f", "p")).Until)
		time.Sleep(first)
		if v := l.Judge(request("f", "p")); v.Refused || !v.Suspect {
			t.Fatalf("after %v: %+v", first, v)
		}
		l.Report("3", "t3/1", request("f3", "p"), true, true)
		if second := time.Until(l.Judge(request("f", "p")).Until); second != 2*first {
			t.Errorf("refused for %v, then for %v", first, second)
		}
		if !l.Lift("p") || l.Judge(request("f", "p")).Suspect {
			t.Error("the part is still suspect after it was lifted")
		}
	})
}

// With one trial at a time, a flood of crashes is forgotten before what is refused.
func TestFloodOfCrashes(t *testing.T) {
	l := quarantine.NewList()
	l.Report("1", "t1/1", request("f1", "p"), true, false)
	l.Report("2", "t2/1", request("f2", "p"), true, true)
	for i := range 2000 {
		l.Report(fmt.Sprint("flood", i), fmt.Sprint("u", i), request(fmt.Sprint("g", i), fmt.Sprint("part", i)), true, false)
	}
	if !l.Judge(request("f", "p")).Refused {
		t.Error("a refused part is forgotten")
	}
	if count := len(l.Rows()); count > 512 {
		t.Errorf("%d crashes are kept", count)
	}
	if !l.BeginTrial(service, []string{"a", "b"}) || l.BeginTrial(service, []string{"b", "c"}) {
		t.Error("two trials of one part at a time")
	}
	l.EndTrial(service, []string{"a", "b"})
	if !l.BeginTrial(service, []string{"b", "c"}) {
		t.Error("no trial after the first one has ended")
	}
}

// crashesAllowed is how often one part may crash targets.
const crashesAllowed = 5

// Requests that wait at targets are taken back once their part is the likely cause of a
// crash elsewhere, and not for sharing a part with requests that only waited there.
func TestWaitingRequestsAreTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := quarantine.NewList()
		taken := map[string]bool{}
		for _, part := range []string{"deadly", "document", "ended"} {
			stop := l.Watch(request("f-"+part, part), func() { taken[part] = true })
			if part == "ended" {
				stop()
			}
		}
		l.Report("1", "t1/1", request("waiting", "document"), false, false)
		synctest.Wait()
		if len(taken) > 0 {
			t.Errorf("taken back though nothing had begun: %v", taken)
		}
		l.Report("2", "t1/1", request("begun", "deadly", "ended"), true, false)
		synctest.Wait()
		if !taken["deadly"] || len(taken) != 1 {
			t.Errorf("taken back: %v", taken)
		}
	})
}

// fleet is a number of VMs that send each other what they find out, late, and at times
// never.
type fleet struct {
	mu      sync.Mutex
	random  *rand.Rand
	lists   []*quarantine.List
	crashes atomic.Int64
}

func newFleet(seed uint64, vms int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
	for range vms {
		l := quarantine.NewList()
		l.Changed = func(rows []quarantine.Crash) {
			for _, other := range f.lists {
				if f.intN(10) == 0 {
					continue // lost
				}
				late := time.Duration(f.intN(300)) * time.Millisecond
				time.AfterFunc(late, func() { other.Merge(rows) })
			}
		}
		f.lists = append(f.lists, l)
	}
	return f
}

func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// send lets a VM run a request that takes 100ms to begin, and reports whether it was
// answered.
func (f *fleet) send(vm int, number int, deadly []string, r quarantine.Request) bool {
	l := f.lists[vm]
	verdict := l.Judge(r)
	if verdict.Refused {
		return false
	}
	if verdict.Suspect {
		l = f.lists[0] // the VM that runs the trials
		if !l.BeginTrial(service, verdict.Parts) {
			return false
		}
		defer l.EndTrial(service, verdict.Parts)
	}
	time.Sleep(100 * time.Millisecond)
	mark := l.Mark()
	for _, part := range deadly {
		if slices.Contains(r.Parts, part) {
			f.crashes.Add(1)
			l.Report(fmt.Sprint(number), fmt.Sprint("t/", number), r, true, verdict.Suspect)
			return false
		}
	}
	l.Sound(mark, r)
	return true
}

// Two deadly parts, of requests of two organisations, at any of 6 and of 300 VMs, are
// found after few crashes, though each VM sees few requests; sound requests that share
// their other parts go on.
func TestDeadlyPartsAreFoundByManyVMs(t *testing.T) {
	for _, vms := range []int{6, 300} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(seed, vms)
				deadly := []string{"deadly-a", "deadly-b"}
				var sound, served atomic.Int64
				for number := range 2000 {
					parts := []string{"first", fmt.Sprint("document", f.intN(40))}
					guilty := number > 400 && f.intN(20) == 0
					if guilty {
						parts = append(parts, deadly[f.intN(2)])
					}
					r := of(fmt.Sprint("o", f.intN(2)), request(fmt.Sprint("f", number), parts...))
					vm := f.intN(vms)
					go func() {
						answered := f.send(vm, number, deadly, r)
						if !guilty && number > 400 {
							sound.Add(1)
							if answered {
								served.Add(1)
							}
						}
					}()
					time.Sleep(10 * time.Millisecond)
				}
				synctest.Wait()
				time.Sleep(time.Second)
				if f.crashes.Load() > 2*crashesAllowed {
					t.Errorf("%d VMs, seed %d: %d crashes of two parts", vms, seed, f.crashes.Load())
				}
				if served.Load() < sound.Load()*9/10 {
					t.Errorf("%d VMs, seed %d: %d of %d sound requests were answered", vms, seed, served.Load(), sound.Load())
				}
				t.Logf("%d VMs, seed %d: %d crashes, %d of %d", vms, seed, f.crashes.Load(), served.Load(), sound.Load())
			})
		}
	}
}
