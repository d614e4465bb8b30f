package fakeengine

import (
	"slices"
	"strconv"
	"time"

	"kingcuprill/core/target"
	"kingcuprill/io/rig/announcer"
	rpc "kingcuprill/rpc/target"
)

// prefill looks up the prefix blocks of a prompt in the cache, adds the missing
// ones, evicts the least recently used beyond CacheBytes, and returns the number
// of prompt bytes that weren't cached.
func (e *Engine) prefill(job jobJSON) (cold int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hashes := target.PrefixHashes(job.Model, job.Prompt)
	cold = len(job.Prompt)
	for _, hash := range hashes {
		at := slices.Index(e.cache, hash)
		if at < 0 {
			e.recordEvent(hash, false)
			e.cache = append(e.cache, hash)
			continue
		}
		cold -= target.PrefixBlock
		e.cache = append(slices.Delete(e.cache, at, at+1), hash)
	}
	for len(e.cache)*target.PrefixBlock > e.Options.CacheBytes {
		e.recordEvent(e.cache[0], true)
		e.cache = e.cache[1:]
	}
	return max(0, cold)
}

func (e *Engine) recordEvent(hash uint64, evicted bool) {
	e.sequence++
	e.events = append(e.events, &rpc.CacheEvent{Sequence: e.sequence, PrefixHash: strconv.FormatUint(hash, 16), Evicted: evicted})
}

const (
	publishEvery   = 300 * time.Millisecond
	lostEventEvery = 97 // one event in so many is lost
	reportsKept    = 64 // load reports kept to look up the lagged one
)

// publish sends the cache events in batches every publishEvery and drops each
// event whose sequence number is a multiple of lostEventEvery.
func (e *Engine) publish() {
	ticker := time.NewTicker(publishEvery)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		events := slices.DeleteFunc(e.events, func(event *rpc.CacheEvent) bool { return event.GetSequence()%lostEventEvery == 0 })
		e.events = nil
		e.mu.Unlock()
		if len(events) > 0 {
			e.announcer.PublishCacheEvents(e.ctx, e.Identity(), events)
		}
	}
}

// laggedLoad records the present load and returns the one of LoadLag ago, or
// the oldest recorded.
func (e *Engine) laggedLoad() announcer.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, announcer.Load{Running: e.running, Waiting: len(e.waiting)})
	if len(e.reports) > reportsKept {
		e.reports = e.reports[1:]
	}
	lag := 0
	if e.Options.AnnounceEvery > 0 {
		lag = int(e.Options.LoadLag / e.Options.AnnounceEvery)
	}
	report := e.reports[max(0, len(e.reports)-1-lag)]
	report.Age = e.Options.LoadLag
	return report
}
