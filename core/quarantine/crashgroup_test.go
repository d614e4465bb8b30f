package quarantine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"kingcuprill/core/quarantine"
)

// play is a fleet of VMs with targets that run requests.
type play struct {
	*fleet
	mu      sync.Mutex
	targets []*running
	number  atomic.Int64
	deadly  string
	crashed []time.Time    // at the deadly part
	reached []time.Time    // requests with the deadly part that a target was sent
	refused map[string]int // sound requests, by reason
	served  int
}

// running is one start of a target.
type running struct {
	boot   string
	downTo time.Time
	broken chan struct{}
}

func newPlay(seed uint64, vms, targets int) *play {
	p := &play{fleet: newFleet(seed, vms), refused: map[string]int{}}
	for i := range targets {
		p.targets = append(p.targets, &running{boot: fmt.Sprint("t", i, "/"), broken: make(chan struct{})})
	}
	return p
}

// crash ends a start of a target; the next one is up 3 s later.
func (p *play) crash(t *running) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.targets, t)
	if i < 0 {
		return
	}
	close(t.broken)
	p.targets[i] = &running{boot: t.boot + "i", downTo: time.Now().Add(3 * time.Second), broken: make(chan struct{})}
}

func (p *play) pick() *running {
	for {
		t := p.targets[p.intN(len(p.targets))]
		if !time.Now().Before(t.downTo) {
			return t
		}
	}
}

// ask runs a request at a VM, and returns why it was refused, "" if it was served.
func (p *play) ask(vm int, r quarantine.Request) (reason string) {
	for range 3 {
		l := p.lists[vm]
		verdict := l.Judge(r)
		switch {
		case verdict.Refused:
			return "quarantined"
		case !verdict.Suspect:
		case !p.lists[0].BeginTrial(service, verdict.Parts):
			return "suspect_part"
		default:
			defer p.lists[0].EndTrial(service, verdict.Parts)
			if p.try(p.lists[0], r, true) {
				return ""
			}
			return "trial_failed"
		}
		if p.try(l, r, false) {
			return ""
		}
	}
	return "no_tries_left"
}

// try runs a request at a target. It waits 0.1 to 0.5 s, its answer begins, and goes on.
func (p *play) try(l *quarantine.List, r quarantine.Request, trial bool) (served bool) {
	p.mu.Lock()
	t := p.pick()
	if p.guilty(r) {
		p.reached = append(p.reached, time.Now())
	}
	p.mu.Unlock()
	taken := make(chan struct{})
	if !trial {
		defer l.Watch(r, func() { close(taken) })()
	}
	report := func(begun bool) {
		l.Report(fmt.Sprint(p.number.Add(1)), t.boot, r, begun, trial)
	}
	select {
	case <-taken:
		return false
	case <-t.broken:
		report(false)
		return false
	case <-time.After(time.Duration(100+p.intN(400)) * time.Millisecond):
	}
	p.mu.Lock()
	guilty := p.guilty(r)
	if guilty {
		p.crashed = append(p.crashed, time.Now())
	}
	p.mu.Unlock()
	if guilty {
		p.crash(t)
	}
	mark := l.Mark()
	for _, begun := range []bool{true, false} {
		after := 300 * time.Millisecond
		if begun {
			after = 50 * time.Millisecond
		}
		select {
		case <-t.broken:
			report(begun)
			return false
		case <-time.After(after):
		}
	}
	l.Sound(mark, r)
	return true
}

func (p *play) guilty(r quarantine.Request) bool {
	return p.deadly != "" && (slices.Contains(r.Parts, p.deadly) || r.Fingerprint == p.deadly)
}

// send sends a request once, and counts it from a time on if it is sound.
func (p *play) send(r quarantine.Request, from time.Time) {
	sent := time.Now()
	reason := p.ask(p.intN(len(p.lists)), r)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case sent.Before(from) || p.guilty(r):
	case reason == "":
		p.served++
	default:
		p.refused[reason]++
	}
}

// load is what a play sends. A quarter of the 70 targets crashes at crashAt.
type load struct {
	whole   bool   // what is deadly is a whole request that is sent again
	turned  string // part that was harmless and turns deadly at crashAt
	deadly  int    // of each 1,000 requests, from crashAt on
	firsts  int    // first parts; each request has one
	alone   bool   // no other targets crash
	crashes int    // at most, by the deadly part
	refused int    // at most, of some 3,000 sound requests
}

const (
	crashAt = 3 * time.Second
	playFor = 9 * time.Second
	quarter = 18
)

// run plays a load: requests have a first part and one of 200 documents, of which a few
// are in most requests.
func (p *play) run(o load) {
	began := time.Now()
	time.AfterFunc(crashAt, func() {
		p.mu.Lock()
		p.deadly = cmp.Or(o.turned, "deadly")
		down := slices.Clone(p.targets[:quarter])
		p.mu.Unlock()
		for _, t := range down {
			if !o.alone {
				p.crash(t)
			}
		}
	})
	for i := 0; time.Since(began) < playFor; i++ {
		r := request(fmt.Sprint("f", i), fmt.Sprint("first", p.intN(o.firsts)), fmt.Sprint("document", p.intN(1+p.intN(200))))
		if time.Since(began) > crashAt && p.intN(1000) < o.deadly {
			if o.whole {
				r.Fingerprint = "deadly"
			} else {
				r.Parts = append(r.Parts, "deadly")
			}
		}
		go p.send(r, began.Add(crashAt))
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

// sentLate counts requests with the deadly part that were sent to targets after the fifth
// crash, from half a second on, by when all VMs have heard of it.
func (p *play) sentLate() (count int) {
	for _, at := range p.reached {
		if len(p.crashed) >= crashesAllowed && at.Sub(p.crashed[crashesAllowed-1]) > 500*time.Millisecond {
			count++
		}
	}
	return count
}

// When a quarter of the targets crashed at once, sound requests were refused for seconds, as
// their parts had been at the targets. And deadly parts must be found as without that, also
// if they come in numbers or were harmless before.
func TestCrashesWithACommonCause(t *testing.T) {
	for name, o := range map[string]load{
		"quarter":               {firsts: 2, refused: 300},
		"one first part":        {firsts: 1, refused: 450},
		"deadly part":           {firsts: 2, deadly: 10, refused: 500, crashes: 9},
		"deadly part in many":   {firsts: 2, deadly: 200, refused: 400, crashes: 13},
		"deadly request":        {firsts: 2, deadly: 10, whole: true, refused: 450, crashes: 8},
		"document turned":       {firsts: 2, turned: "document50", refused: 500, crashes: 9},
		"alone":                 {firsts: 2, deadly: 10, alone: true, refused: 900, crashes: 8},
		"alone in many":         {firsts: 2, deadly: 200, alone: true, refused: 700, crashes: 11},
		"alone, turned":         {firsts: 10, turned: "first1", alone: true, refused: 350, crashes: 24},
		"alone, half of it all": {firsts: 2, turned: "first1", alone: true, refused: 350, crashes: 40},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				synctest.Test(t, func(t *testing.T) {
					p := newPlay(seed, 16, 70)
					p.run(o)
					refused := 0
					for _, n := range p.refused {
						refused += n
					}
					if refused > o.refused || len(p.crashed) > o.crashes || p.sentLate() > 3 {
						t.Errorf("seed %d: %d sound requests refused, %d crashes, %d requests sent late; at most %d, %d and 3", seed, refused, len(p.crashed), p.sentLate(), o.refused, o.crashes)
					}
					t.Logf("seed %d: %d served, refused %v, %d crashes, %d sent, %d late", seed, p.served, p.refused, len(p.crashed), len(p.reached), p.sentLate())
				})
			}
		})
	}
}

// VMs that hear of the same crashes in another order judged them differently. And what was
// left of a group as its first crashes expired made all of its parts suspect.
func TestCrashGroupsAreTheSameAtAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rows []quarantine.Crash
		for i := range 40 {
			c := quarantine.Crash{ID: fmt.Sprint(i), Boot: fmt.Sprint("t", i%10), Service: service, Begun: i%8 == 0, Known: []string{fmt.Sprint("first", i%3)}}
			c.Parts = []string{fmt.Sprint("document", i%20), fmt.Sprint("f", i)}
			rows = append(rows, c)
		}
		var want []quarantine.Entry
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
			l := quarantine.NewList()
			var groups []quarantine.CrashGroup
			l.OnCrashGroup = func(g quarantine.CrashGroup) { groups = append(groups, g) }
			for _, row := range rows {
				l.Merge([]quarantine.Crash{row})
				time.Sleep(time.Duration(random.IntN(15)) * time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			got := l.Entries()
			if want == nil {
				want = got
			}
			if len(got) == 0 || !reflect.DeepEqual(got, want) {
				t.Fatalf("order %d: %v, %v", seed, got, want)
			}
			if len(groups) != 1 || groups[0].Targets != 10 || groups[0].Requests != 40 || groups[0].Begun != 5 || groups[0].Dismissed == 0 || len(groups[0].Kept) != len(got) {
				t.Errorf("order %d: %+v for %d suspects", seed, groups, len(got))
			}
			for time.Sleep(10*time.Minute - 4*time.Second); len(l.Rows()) > 0; time.Sleep(50 * time.Millisecond) {
				if l.Expire(time.Now()); len(l.Entries()) > len(want) {
					t.Fatalf("order %d: %d parts are suspect as crashes expire", seed, len(l.Entries()))
				}
			}
		}
	})
}
