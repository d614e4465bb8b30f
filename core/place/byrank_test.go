package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kingcuprill/core/backlog"
)

// rankedEngine reads waiting prompts one at a time, the most urgent first.
type rankedEngine struct {
	free    time.Time
	waiting []*Assignment
}

// next returns the index of the request that the engine reads next, and when it begins.
func (e *rankedEngine) next() (index int, from time.Time) {
	first := slices.MinFunc(e.waiting, func(a, b *Assignment) int { return a.begun.Compare(b.begun) })
	from = e.free
	if from.Before(first.begun) {
		from = first.begun
	}
	index = -1
	for i, a := range e.waiting {
		if !a.begun.After(from) && (index < 0 || a.rank < e.waiting[index].rank) {
			index = i
		}
	}
	return index, from
}

// advance answers the requests that the engine has read until now. Those whose callers have
// left count as late.
func (e *rankedEngine) advance(now time.Time, counts *[backlog.Ranks]served) {
	for len(e.waiting) > 0 {
		i, from := e.next()
		a := e.waiting[i]
		read := from.Add(time.Duration(a.work) * tokenTime)
		if read.After(now) {
			return
		}
		e.waiting = slices.Delete(e.waiting, i, i+1)
		if read.After(a.deadline) {
			a.Done(Inconclusive, a.deadline)
			counts[a.rank].late++
			continue
		}
		e.free = read
		a.Answered(read)
		a.Done(Success, read)
		if read.Sub(a.begun) <= objective {
			counts[a.rank].inTime++
		} else {
			counts[a.rank].late++
		}
	}
}

type served struct{ inTime, late, refused int }

const objective = 800 * time.Millisecond

// replayRanks sends requests of two ranks, a third of them urgent, to engines that can read
// some 500 a second.
func replayRanks(byRank bool, perSecond, seconds int) (counts [backlog.Ranks]served) {
	random := rand.New(rand.NewPCG(3, uint64(perSecond)))
	p := placers(1, 4, nil)[0]
	p.ByRank = byRank
	engines := map[string]*rankedEngine{}
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		for _, e := range engines {
			e.advance(now, &counts)
		}
		rank := 0
		if random.IntN(3) > 0 {
			rank = 3
		}
		r := Request{
			Service: "llm", Memory: 60_000_000, Rank: rank, Bound: objective * 95 / 100, Objective: objective,
			Now: now, Deadline: now.Add(3 * time.Second), Demand: Demand{Prompt: 500 + random.IntN(1000), Output: 20},
		}
		a, _, _ := p.Pick(r)
		if a == nil {
			counts[rank].refused++
			continue
		}
		a.rank = rank // the engine knows it in any case
		if engines[a.id] == nil {
			engines[a.id] = &rankedEngine{}
		}
		engines[a.id].waiting = append(engines[a.id].waiting, a)
	}
	return counts
}

// At one and a half times the load that engines can read, the less urgent requests were
// admitted with short predictions, overtaken, and left by their callers. The urgent ones must
// be served before them, and what is admitted must begin in time.
func TestAdmittedRequestsBeginInTimeWhateverTheirRank(t *testing.T) {
	counts := replayRanks(true, 750, 12)
	t.Logf("by rank: urgent %+v, others %+v", counts[0], counts[3])
	urgent, others := counts[0], counts[3]
	if all := urgent.inTime + urgent.late + urgent.refused; urgent.inTime*100 < 95*all {
		t.Errorf("%d of %d urgent requests began in time, want 95%%", urgent.inTime, all)
	}
	if others.late*10 > others.inTime {
		t.Errorf("%d of the admitted less urgent requests were late, %d in time: more than a tenth", others.late, others.inTime)
	}
	if others.inTime < 12*170 {
		t.Errorf("%d less urgent requests began in time, though there was room for %d", others.inTime, 12*250)
	}
}

// Below the load that engines can read, nothing is refused for its rank.
func TestNoRankIsRefusedBelowCapacity(t *testing.T) {
	for rank, c := range replayRanks(true, 400, 12) {
		if c.refused+c.late > 0 {
			t.Errorf("rank %d: %+v", rank, c)
		}
	}
}

// Less urgent requests with long answers had filled the memory of the engines, so that urgent
// ones were refused. Without urgent ones they may use all of it.
func TestMemoryIsKeptForUrgentRequests(t *testing.T) {
	for name, urgent := range map[string]bool{"with urgent requests": true, "without": false} {
		p := placers(1, 1, nil)[0]
		p.ByRank = true
		refused, long := 0, 0
		for i := range 400 {
			now := start.Add(time.Duration(i) * 5 * time.Millisecond)
			r := Request{Service: "llm", Memory: 400_000, Rank: 5, Now: now, Deadline: now.Add(time.Minute), Demand: Demand{Prompt: 12_000, Output: 400}}
			if a, _, _ := p.Pick(r); a != nil {
				long++
				a.Answered(now) // and goes on
			}
			if !urgent {
				continue
			}
			r.Rank, r.Demand = 0, Demand{Prompt: 2400, Output: 20}
			a, _, _ := p.Pick(r)
			if a == nil {
				refused++
				continue
			}
			a.Answered(now)
			a.Done(Success, now)
		}
		if refused > 0 {
			t.Errorf("%s: %d of 400 are refused beside %d long ones", name, refused, long)
		}
		const room = 29 // nine tenths of the memory
		if !urgent && long < room {
			t.Errorf("%s: %d long ones run, %d have room", name, long, room)
		}
	}
}
