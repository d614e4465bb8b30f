package backlog

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

const average = 20 * time.Microsecond

// Work of less urgent requests made urgent ones look late, and the other way round.
func TestOnlyWorkOfTheSameOrMoreUrgentRanksIsWaitedFor(t *testing.T) {
	b := Backlog{}
	b.Add(3, 50_000, start)
	if wait := b.Wait(0, 1000, average, start); wait != 1000*average {
		t.Errorf("rank 0 waits %v behind work of rank 3, want %v", wait, 1000*average)
	}
	if wait := b.Wait(3, 1000, average, start); wait != 51_000*average {
		t.Errorf("rank 3 waits %v behind its own rank, want %v", wait, 51_000*average)
	}
	b.Add(0, 10_000, start)
	if wait := b.Wait(3, 1000, average, start); wait < 61_000*average*10/9 {
		t.Errorf("rank 3 waits %v, which leaves out the urgent work that arrives meanwhile", wait)
	}
}

// More urgent work than the target can read made the prediction negative or infinite.
func TestWaitIsFiniteUnderAnyLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := Backlog{}
	now := start
	for range 10_000 {
		now = now.Add(time.Duration(random.IntN(1000)) * time.Microsecond)
		b.Add(random.IntN(Ranks), random.IntN(50_000), now)
		previous := time.Duration(0)
		for rank := range Ranks {
			wait := b.Wait(rank, 100, average, now)
			if wait < previous {
				t.Fatalf("rank %d waits %v, less than the %v of a more urgent one", rank, wait, previous)
			}
			previous = wait
		}
	}
	if wait := b.Wait(Ranks-1, 100, average, now); wait < 0 || wait > 24*time.Hour {
		t.Errorf("the least urgent rank waits %v", wait)
	}
}

// read lets a target read prompts of 2,000 tokens one after the other for some time.
func read(b *Backlog, perToken func(time.Time) time.Duration, now time.Time, lasting time.Duration) time.Time {
	const tokens = 2000
	end := now.Add(lasting)
	b.Add(0, tokens, now)
	for now.Before(end) {
		b.Add(0, tokens, now)
		now = now.Add(tokens * perToken(now))
		b.Begin(0, tokens, now)
	}
	b.Begin(0, tokens, now)
	return now
}

func constant(d time.Duration) func(time.Time) time.Duration {
	return func(time.Time) time.Duration { return d }
}

// A target that becomes slower or faster must be known as such within 5 s of busy time.
func TestSpeedFollowsAChange(t *testing.T) {
	b := Backlog{}
	now := start
	for _, real := range []time.Duration{average, 2 * average, average / 2} {
		now = read(&b, constant(real), now, 5*time.Second)
		if got := b.Speed.TokenTime(average); got < real*8/10 || got > real*12/10 {
			t.Errorf("after 5s at %v a token: %v", real, got)
		}
	}
}

// A target with hardly any work, whose answers are far apart, looked slow.
func TestIdleTimeIsNotSlowness(t *testing.T) {
	b := Backlog{}
	now := read(&b, constant(average), start, 2*time.Second)
	before := b.Speed.TokenTime(average)
	for range 100 {
		b.Add(0, 1000, now)
		now = now.Add(400 * time.Millisecond)
		b.Begin(0, 1000, now)
	}
	if got := b.Speed.TokenTime(average); got != before {
		t.Errorf("%v after idle time, %v before", got, before)
	}
}

// A request whose answer is lost seems to wait until it ends, while the target is idle.
func TestLostAnswersAreNotSlowness(t *testing.T) {
	b := Backlog{}
	now := read(&b, constant(average), start, 2*time.Second)
	b.Add(0, 1000, now) // never answered
	for range 100 {
		now = now.Add(time.Second)
		b.Add(0, 1000, now)
		now = now.Add(1000 * average)
		b.Begin(0, 1000, now)
	}
	if got := b.Speed.TokenTime(average); got > average*12/10 {
		t.Errorf("%v a token beside a lost answer, want about %v", got, average)
	}
	b.Remove(0, 1000)
	if wait := b.Wait(0, 0, average, now); wait != 0 {
		t.Errorf("a wait of %v is left when nothing waits", wait)
	}
}

// Spells in which a target is 2.5 times as slow must not make it unusable after them.
func TestSpeedAfterNoise(t *testing.T) {
	b := Backlog{}
	noisy := func(now time.Time) time.Duration {
		if now.Sub(start)%(4*time.Second) < 600*time.Millisecond {
			return average * 5 / 2
		}
		return average
	}
	end := read(&b, noisy, start, 20*time.Second)
	read(&b, constant(average), end, 3*time.Second)
	if got := b.Speed.TokenTime(average); got > average*13/10 {
		t.Errorf("%v a token 3s after the last noise, want about %v", got, average)
	}
}

func BenchmarkWait(b *testing.B) {
	backlog := Backlog{}
	for i := range 10_000 {
		backlog.Add(i%Ranks, 2000, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		backlog.Wait(Ranks-1, 2000, average, start)
	}
}
