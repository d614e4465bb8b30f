package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// flood is a fleet whose VMs remember the pool's answers.
type flood struct {
	*fleet
	calls int // that brought no tokens to a waiting request
}

func (f *flood) send(vm int, cost float64, now time.Time) (granted bool) {
	l := f.limiters[vm]
	if l.Wait("o", f.limit, cost, now) > 0 {
		return false
	}
	granted, order := l.Take("o", f.limit, cost, now)
	if granted && order.Want == 0 {
		return true
	}
	tokens, wait := f.pool.Draw(f.term, "o", f.limit, order.Need, order.Want, now)
	if order.Need > 0 && tokens == 0 {
		f.calls++
		l.NoteShortage("o", f.limit, order.Need, wait, now)
	}
	if granted {
		l.AddDrawn("o", f.limit, order, 0, tokens, true, now)
		return true
	}
	return l.AddDrawn("o", f.limit, order, cost, tokens, true, now)
}

// Guards against refusals that each cost a call: an organisation sends 6.5 times its limit
// through many VMs. It must get its limit, and no more.
func TestRefusalsOfAFloodMakeFewCalls(t *testing.T) {
	const vms, seconds, perSecond = 30, 20, 1300
	limit := Limit{RatePerSecond: 400_000, Burst: 400_000}
	f := &flood{fleet: newFleet(vms, limit)}
	f.pool.StartTerm(f.term, start)
	random := rand.New(rand.NewPCG(1, 1))
	admitted, requests, refused := 0.0, 0, 0
	for now := start.Add(2 * time.Second); now.Sub(start) < (2+seconds)*time.Second; now = now.Add(time.Second / perSecond) {
		requests++
		cost := 1000 + 2000*random.Float64()
		if f.send(random.IntN(vms), cost, now) {
			admitted += cost
			continue
		}
		refused++
	}
	t.Logf("%d calls without tokens for %d requests, %d refused, %.2f of the limit admitted", f.calls, requests, refused, admitted/seconds/limit.RatePerSecond)
	if f.calls*10 > refused {
		t.Errorf("%d refusals have made %d calls", refused, f.calls)
	}
	if most := limit.RatePerSecond*seconds + limit.Burst + 3000; admitted > most || admitted < 0.9*limit.RatePerSecond*seconds {
		t.Errorf("%.0f tokens are admitted in %d s, the limit is %.0f", admitted, seconds, most)
	}
}

// Guards against a memory that outlives its reason: returned tokens, a changed limit and the
// end of the time must each let a request through.
func TestShortageEnds(t *testing.T) {
	limit := Limit{RatePerSecond: 100, Burst: 100}
	l := NewLimiter()
	l.SetVMs(1)
	now := start.Add(time.Second)
	l.NoteShortage("o", limit, 80, 10*time.Second, now)
	if wait := l.Wait("o", limit, 80, now); wait != 10*time.Second {
		t.Errorf("a request is told to wait %v", wait)
	}
	if l.Wait("o", Limit{RatePerSecond: 200, Burst: 100}, 80, now) > 0 {
		t.Error("the memory applies to another limit")
	}
	if l.Wait("o", limit, 80, now.Add(maxShortagePause)) > 0 {
		t.Error("the pool is not asked again in time")
	}
	l.Refund("o", 80)
	if l.Wait("o", limit, 80, now) > 0 {
		t.Error("a request is refused that returned tokens cover")
	}
}
