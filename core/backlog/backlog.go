// Package backlog predicts how long a request waits at a model engine that serves
// more urgent requests first.
//
// At a peak, an engine that serves by rank keeps its most urgent requests fast and lets
// the others wait. A prediction that counts all waiting work alike is then too long for
// the former and far too short for the latter, which are overtaken until their callers
// leave. A Backlog counts the waiting work by rank, and how much more urgent work arrives
// meanwhile.
//
// It also measures how fast the engine reads prompts. Only the time counts in which work
// was waiting, so that an engine with little to do doesn't look slow.
package backlog

import (
	"math"
	"time"
)

const (
	// Ranks is the number of ranks. Rank 0 is the most urgent.
	Ranks = 10
	// arrivalWindow is the time over which arriving work is averaged.
	arrivalWindow = time.Second
	// maxUrgentShare bounds the share of the engine's time that is assumed to go to more
	// urgent work, so that a prediction stays finite.
	maxUrgentShare = 0.9
	// negligible is a rate that stands for no work, in tokens per second.
	negligible = 1
	// overtakingMargin is the part of the share of more urgent work by which a prediction
	// is lengthened, since that work comes in bursts.
	overtakingMargin = 0.4
)

// Backlog is the work that waits at one target, as its coordinator knows it. It is not safe
// for concurrent use.
type Backlog struct {
	Speed Speed

	waiting  [Ranks]int // prompt tokens
	requests int        // that wait
	arriving [Ranks]rate
}

// Clamp returns the rank that stands for one out of range.
func Clamp(rank int) int {
	return min(max(0, rank), Ranks-1)
}

// Add records that a request has been sent to the target.
func (b *Backlog) Add(rank, tokens int, now time.Time) {
	b.waiting[rank] += tokens
	b.requests++
	b.arriving[rank].add(float64(tokens), now)
}

// Begin records that a request that was added has begun to be answered. If that shows how
// long the target took for some tokens, measured is true.
func (b *Backlog) Begin(rank, tokens int, now time.Time) (read float64, took time.Duration, measured bool) {
	b.remove(rank, tokens)
	return b.Speed.began(tokens, b.requests > 0, now)
}

// Remove records that a request that was added ended before it was answered.
func (b *Backlog) Remove(rank, tokens int) {
	b.remove(rank, tokens)
	if b.requests == 0 {
		b.Speed.idle()
	}
}

func (b *Backlog) remove(rank, tokens int) {
	b.waiting[rank] -= tokens
	b.requests--
}

// Wait returns the predicted time until the target has read a new request of a rank.
// average is the time per token of the service's targets.
func (b *Backlog) Wait(rank, tokens int, average time.Duration, now time.Time) time.Duration {
	ahead := tokens
	urgent := 0.0 // tokens per second
	for k := range rank + 1 {
		ahead += b.waiting[k]
		if k < rank {
			urgent += b.arriving[k].perSecond(now)
		}
	}
	tokenTime := b.Speed.TokenTime(average)
	share := min(maxUrgentShare, urgent*tokenTime.Seconds())
	return time.Duration(float64(ahead) * float64(tokenTime) / (1 - share) * (1 + overtakingMargin*share))
}

// UrgentShare returns the share of the work that has come lately which was more urgent than a
// rank, from 0 to 1.
func (b *Backlog) UrgentShare(rank int, now time.Time) float64 {
	urgent, all := 0.0, 0.0
	for k := range b.arriving {
		rate := b.arriving[k].perSecond(now)
		all += rate
		if k < rank {
			urgent += rate
		}
	}
	if all < negligible {
		return 0
	}
	return urgent / all
}

// rate is an exponentially weighted average of tokens per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(tokens float64, now time.Time) {
	r.value = r.perSecond(now) + tokens/arrivalWindow.Seconds()
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/arrivalWindow.Seconds())
}
