package place

import "time"

const (
	// returnedDivisor gives the part of its objective from which on a request that
	// returns after a refusal has precedence over new ones.
	returnedDivisor = 4
	// returnedBound is the number of objectives within which the answer to such a
	// request must be predicted to begin.
	returnedBound = 1
	// sweepInterval is how often expired refusals are removed.
	sweepInterval = time.Second
	// maxRefusals bounds the refusals that are remembered.
	maxRefusals = 1 << 16
)

// refusals remembers the requests that this VM has refused, by the part of the prompt
// that belongs to the request alone. A request that returns is placed by the same
// coordinators as before, so that they recognise it.
//
// The time that a caller has left doesn't tell a returned request from the first one
// of a caller that waits less long than others.
type refusals struct {
	rows  map[string]refusal
	swept time.Time
}

type refusal struct {
	since time.Time // arrival of the first request that was refused
	until time.Time // deadline of the last one
}

func refusalKey(r Request) (key string, ok bool) {
	if len(r.Demand.Parts) == 0 {
		return "", false
	}
	return r.Service + "\x00" + r.Demand.Parts[len(r.Demand.Parts)-1].ID, true
}

// add remembers that a request was refused.
func (f *refusals) add(r Request) {
	key, ok := refusalKey(r)
	if !ok {
		return
	}
	f.sweep(r.Now)
	if len(f.rows) >= maxRefusals {
		return
	}
	since := r.Now
	if before, found := f.rows[key]; found {
		since = before.since
	}
	f.rows[key] = refusal{since: since, until: r.Deadline}
}

// waited returns how long ago a request was first refused.
func (f *refusals) waited(r Request) (waited time.Duration, found bool) {
	key, ok := refusalKey(r)
	if !ok {
		return 0, false
	}
	row, found := f.rows[key]
	if !found || r.Now.After(row.until) {
		return 0, false
	}
	return r.Now.Sub(row.since), true
}

func (f *refusals) forget(r Request) {
	if key, ok := refusalKey(r); ok {
		delete(f.rows, key)
	}
}

func (f *refusals) sweep(now time.Time) {
	if now.Sub(f.swept) < sweepInterval {
		return
	}
	f.swept = now
	for key, row := range f.rows {
		if now.After(row.until) {
			delete(f.rows, key)
		}
	}
}

// withReturn returns the request with the bounds of one that returns after a refusal,
// if it is known as such. It has less time left until its objective. Once it has
// waited for a part of that, it is admitted as late as one more objective from now,
// so that it isn't refused again in favour of new ones.
func (f *refusals) withReturn(r Request) Request {
	waited, found := f.waited(r)
	if !found || r.Objective == 0 {
		return r
	}
	r.PreferredBound -= waited
	if waited > r.Objective/returnedDivisor {
		r.Bound = max(1, min(r.Deadline.Sub(r.Now)/2, returnedBound*r.Objective))
		return r
	}
	r.Bound = max(1, r.Bound-waited)
	return r
}
