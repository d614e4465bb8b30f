package regionload

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	objective = 800 * time.Millisecond
	bound     = objective * 95 / 100
	targets   = 8
	vms       = 6
	reading   = 80 * time.Millisecond // of an average prompt: a region reads 100 a second
	oneWay    = RoundTrip / 2
)

// region has targets that are loaded evenly, and VMs that each learn for themselves.
type region struct {
	free      time.Time // when all that waits is read
	perSecond func(second float64) float64
	tables    [vms]Table
}

func (r *region) predict(read time.Duration, now time.Time) time.Duration {
	return max(0, r.free.Sub(now)) + read
}

func (r *region) serve(read time.Duration, now time.Time) {
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(read / targets)
}

type event struct {
	at time.Time
	do func(now time.Time)
}

// replay sends requests of all regions. Answers begin at 0.7 to 1.5 times the predicted time.
type replay struct {
	leaving bool // requests leave before their region refuses them
	regions []*region
	random  *rand.Rand
	events  []event // by time
	start   time.Time
	inTime  int
	all     int
	first   []crossed // requests of the first region
}

// crossed is where a request was sent first, and when.
type crossed struct {
	at time.Duration
	to int
}

func newReplay(leaving bool, perSecond ...func(second float64) float64) *replay {
	r := &replay{leaving: leaving, random: rand.New(rand.NewPCG(1, 2)), start: time.Unix(1_800_000_000, 0)}
	for _, rate := range perSecond {
		r.regions = append(r.regions, &region{perSecond: rate})
	}
	return r
}

func (r *replay) run(lasting time.Duration) *replay {
	for home := range r.regions {
		r.arrive(home, r.start, r.start.Add(lasting))
	}
	for len(r.events) > 0 {
		next := r.events[0]
		r.events = r.events[1:]
		next.do(next.at)
	}
	return r
}

func (r *replay) at(when time.Time, do func(now time.Time)) {
	i, _ := slices.BinarySearchFunc(r.events, when, func(e event, when time.Time) int { return e.at.Compare(when) })
	r.events = slices.Insert(r.events, i, event{when, do})
}

// arrive begins the requests of the callers of a region.
func (r *replay) arrive(home int, now, end time.Time) {
	rate := r.regions[home].perSecond(now.Sub(r.start).Seconds())
	next := now.Add(time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)))
	if next.After(end) {
		return
	}
	r.at(next, func(now time.Time) {
		q := &request{replay: r, home: home, vm: r.random.IntN(vms), arrived: now, read: time.Duration((0.5 + r.random.Float64()) * float64(reading)), tried: map[int]bool{}}
		r.all++
		to := q.choose(now)
		if home == 0 {
			r.first = append(r.first, crossed{now.Sub(r.start), to})
		}
		q.send(to, now)
		r.arrive(home, now, end)
	})
}

type request struct {
	*replay
	home, vm int
	arrived  time.Time
	read     time.Duration
	tried    map[int]bool
}

func (q *request) table() *Table { return &q.regions[q.home].tables[q.vm] }

// best returns the other region to which the request would go, and the shortest prediction.
func (q *request) best(leaving bool, now time.Time) (to int, predicted time.Duration) {
	to = q.home
	shortest := time.Duration(0)
	for i := range q.regions {
		if i == q.home || q.tried[i] {
			continue
		}
		p := q.table().Predict(kind(i), Need{q.read, objective}, now)
		w, usable := Weigh(p, objective, q.random.Float64()), true
		if leaving {
			w, usable = WeighEarly(p, objective, q.random.Float64())
		}
		if !usable {
			q.table().Skip(kind(i), now)
			continue
		}
		if to == q.home || p.Begin < predicted {
			predicted = p.Begin
		}
		if to == q.home || w < shortest {
			to, shortest = i, w
		}
	}
	return to, predicted
}

func kind(region int) Kind { return Kind{Region: string(rune('a' + region)), Service: "s"} }

// choose returns the region in which the request is tried first.
func (q *request) choose(now time.Time) int {
	local := q.regions[q.home].predict(q.read, now)
	to, remote := q.best(true, now)
	if q.leaving && to != q.home && local > LeaveAfter(remote, objective, q.random.Float64()) {
		return to
	}
	if local > bound {
		to, _ = q.best(false, now)
		return to
	}
	return q.home
}

func (q *request) send(to int, now time.Time) {
	if to == q.home {
		q.begin(to, 0, now)
		return
	}
	q.tried[to] = true
	forwarded := q.table().Send(kind(to), q.read, q.read*vms/targets, now)
	q.at(now.Add(oneWay), func(now time.Time) {
		predicted := q.regions[to].predict(q.read, now)
		if now.Sub(q.arrived)+predicted > bound-oneWay {
			q.at(now.Add(oneWay), func(now time.Time) {
				forwarded.Refused(predicted, objective, now)
				forwarded.End()
				q.begin(q.home, 0, now)
			})
			return
		}
		took := q.begin(to, oneWay, now)
		q.at(now.Add(took+oneWay), func(now time.Time) {
			forwarded.Learn(predicted, now)
			forwarded.End()
		})
	})
}

// begin runs the request in a region, unless its answer is predicted to begin late.
func (q *request) begin(in int, way time.Duration, now time.Time) (took time.Duration) {
	predicted := q.regions[in].predict(q.read, now)
	if now.Sub(q.arrived)+predicted > bound {
		return 0
	}
	q.regions[in].serve(q.read, now)
	took = time.Duration((0.7 + 0.8*q.random.Float64()) * float64(predicted))
	if now.Add(took+way).Sub(q.arrived) <= objective {
		q.inTime++
	}
	return took
}

func steady(perSecond float64) func(float64) float64 {
	return func(float64) float64 { return perSecond }
}

// share returns the share of the first region's requests of a time that went to another one.
func (r *replay) share(from, until time.Duration, regions ...int) float64 {
	all, away := 0, 0
	for _, c := range r.first {
		if c.at < from || c.at >= until {
			continue
		}
		all++
		for _, region := range regions {
			if c.to == region {
				away++
			}
		}
	}
	return float64(away) / float64(max(1, all))
}

// Requests of a region at twice its capacity waited there beside two idle regions until they
// were late.
func TestBusyRegionUsesIdleOnes(t *testing.T) {
	loads := []func(float64) float64{steady(200), steady(20), steady(20)}
	before, after := newReplay(false, loads...).run(20*time.Second), newReplay(true, loads...).run(20*time.Second)
	t.Logf("in time: %d of %d without leaving, %d of %d with it", before.inTime, before.all, after.inTime, after.all)
	if after.inTime*100 < 97*after.all || after.inTime < before.inTime*11/10 {
		t.Errorf("%d of %d requests were in time, %d of %d without leaving", after.inTime, after.all, before.inTime, before.all)
	}
}

// All VMs of a region learn the same and went to the other region at once, then none, again
// and again.
func TestShareThatLeavesDoesNotSwing(t *testing.T) {
	const maxDeviation = 0.08 // 0.06 of it is chance, as half a second has some 75 to 150 requests
	for name, loads := range map[string][]func(float64) float64{
		"two idle regions":          {steady(200), steady(20), steady(20)},
		"hardly room for the rest":  {steady(200), steady(50), steady(50)},
		"one other, as large":       {steady(150), steady(40)},
		"others can't take it all":  {steady(300), steady(60), steady(60)},
		"others are busy, one less": {steady(200), steady(90), steady(50)},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(true, loads...).run(40 * time.Second)
			const window = 500 * time.Millisecond
			mean, squares, count := r.share(3*time.Second, 40*time.Second, 1, 2), 0.0, 0.0
			for from := 3 * time.Second; from < 40*time.Second; from += window {
				deviation := r.share(from, from+window, 1, 2) - mean
				squares += deviation * deviation
				count++
			}
			deviation := math.Sqrt(squares / count)
			t.Logf("share that leaves: %.2f, with a deviation of %.3f over half seconds; in time %d of %d", mean, deviation, r.inTime, r.all)
			if deviation > maxDeviation {
				t.Errorf("the share that leaves is %.2f, with a deviation of %.3f over half seconds", mean, deviation)
			}
		})
	}
}

// Requests kept going to a region that had filled up, and none to one that had become idle.
func TestRegionThatFillsUpIsLeftAndUsedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		home, busy float64 // requests per second
		most       float64 // share that may go to the busy region, of that before
	}{
		"room in the third region":       {home: 150, busy: 110, most: 0.2},
		"no room in any region any more": {home: 200, busy: 200, most: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			from8To14 := func(second float64) float64 {
				if second >= 8 && second < 14 {
					return test.busy
				}
				return 20
			}
			r := newReplay(true, steady(test.home), from8To14, steady(20)).run(24 * time.Second)
			before, during, after := r.share(4*time.Second, 8*time.Second, 1), r.share(10*time.Second, 14*time.Second, 1), r.share(18*time.Second, 24*time.Second, 1)
			t.Logf("share to the region: %.2f before, %.2f while it is full, %.2f afterwards; in time %d of %d", before, during, after, r.inTime, r.all)
			if before < 0.1 || during > before*test.most || after < before/2 {
				t.Errorf("share to the region: %.2f before, %.2f while it is full, %.2f afterwards", before, during, after)
			}
		})
	}
}

// Requests crossed to other regions and back although their own had room.
func TestNothingLeavesBelowCapacity(t *testing.T) {
	for _, perSecond := range []float64{10, 40, 70} {
		r := newReplay(true, steady(perSecond), steady(20), steady(20)).run(20 * time.Second)
		if share := r.share(0, 20*time.Second, 1, 2); share > 0 {
			t.Errorf("at %v requests a second, of 100, %.3f leave", perSecond, share)
		}
	}
}
