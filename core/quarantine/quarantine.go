// Package quarantine finds the part of a prompt, or the whole request, that crashes
// the targets that begin to answer it, and keeps requests with it away from targets.
//
// Evidence are crashes: the requests that a target had just begun to answer, or not
// yet, when it crashed, each with its parts. Answers clear parts: one that went on
// well, and began after a VM had heard of a crash, shows that none of its parts has
// caused that crash. So no clocks of different VMs are compared. VMs send both to each
// other, and merge them in any order.
//
// The parts of a crash that aren't cleared are suspect. Requests with a suspect part
// run one at a time in a region, as trials. A part that is left from two crashes, one
// of them in a trial, is refused, for a time that grows with each further crash;
// after it, there are trials again. Everything is in memory.
//
// Where many targets of a service crash at almost the same time, a cause outside of the
// requests is more likely. Such a crash group makes only those parts suspect that it speaks against.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprill/core/versioned"
)

const (
	// suspectFor is how long parts stay suspect without a further crash.
	suspectFor = 10 * time.Minute
	// refusedKept is how long the crashes of parts that were refused are kept, so that
	// the next refusal is longer.
	refusedKept = 24 * time.Hour
	// manyCrashes is the number of crashes from which on they are evaluated only once in
	// evaluatePause, as each evaluation takes up to some milliseconds.
	manyCrashes   = 64
	evaluatePause = 20 * time.Millisecond
	// maxCrashes bounds the crashes kept. The oldest ones of which no part is refused
	// are dropped first.
	maxCrashes = 512
)

// Verdict says whether a request may run.
type Verdict struct {
	Refused bool
	Suspect bool     // it may run as a trial
	Likely  bool     // it is suspect, and a target that crashed had begun an answer with its part
	Parts   []string // that are refused or suspect
	Until   time.Time
}

// List holds crashes. It is safe for concurrent use.
type List struct {
	// Table holds the crashes with versions, for the VMs that follow this one.
	Table *versioned.Table[Crash]
	// Changed is called, if it is set, with crashes that this VM has reported or
	// cleared parts of. It must not block and must be set before the first use.
	Changed func(rows []Crash)
	// OnCrashGroup is called, if it is set, once for each crash group, when most of it is known. It
	// must be set before the first use.
	OnCrashGroup func(CrashGroup)

	index   atomic.Pointer[index]
	learned atomic.Uint64 // number of the last crash that this VM has heard of

	mu       sync.Mutex
	records  map[string]*record // by id of the crash
	known    knownParts
	trials   map[string]bool // parts of the trials that run on this VM
	watches  map[*watch]bool
	reported map[string]bool // targets of the groups that OnCrashGroup has been or will be called for

	evaluated time.Time // last time
	due       bool      // an evaluation is to come
}

// watch is a request that waits at a target.
type watch struct {
	request Request
	suspect func()
}

// record is a crash as this VM knows it.
type record struct {
	Crash
	number uint64 // order in which this VM has heard of the crashes
	at     time.Time
}

// NewList returns an empty list.
func NewList() *List {
	l := &List{Table: versioned.NewTable[Crash](), records: map[string]*record{}, trials: map[string]bool{}, watches: map[*watch]bool{}}
	l.index.Store(&index{})
	return l
}

// Empty reports whether no request is suspect or refused.
func (l *List) Empty() bool {
	for _, s := range *l.index.Load() {
		if len(s.suspects)+len(s.causes) > 0 {
			return false
		}
	}
	return true
}

// Judge returns whether a request may run now. It takes no lock.
func (l *List) Judge(r Request) Verdict {
	s, found := (*l.index.Load())[r.Service]
	if !found {
		return Verdict{}
	}
	return s.judge(r, time.Now())
}

// Entry is a suspect part, or a set of parts of which one has crashed targets
// repeatedly.
type Entry struct {
	Service       string
	Parts         []string
	Organisations []string  // whose requests have crashed targets, where it is refused
	Crashes       int       // where it is refused
	Until         time.Time // end of the refusal, zero for suspect parts
}

// Entries returns what is suspect or refused, ordered by service and part.
func (l *List) Entries() (entries []Entry) {
	for service, s := range *l.index.Load() {
		for part := range s.suspects {
			entries = append(entries, Entry{Service: service, Parts: []string{part}})
		}
		for _, c := range s.causes {
			entries = append(entries, Entry{
				Service: service, Parts: c.parts, Organisations: slices.Sorted(maps.Keys(c.organisations)), Crashes: c.crashes, Until: c.until(),
			})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), slices.Compare(a.Parts, b.Parts))
	})
	return entries
}

// Counts returns the number of suspect parts, and of refused sets of parts.
func (l *List) Counts() (suspects, refused int) {
	for _, e := range l.Entries() {
		if e.Until.IsZero() {
			suspects++
		} else {
			refused++
		}
	}
	return suspects, refused
}

// Report records that a target has crashed while it had begun to answer a request, or
// before. id identifies the request, boot the target and its start.
func (l *List) Report(id, boot string, r Request, begun, trial bool) Crash {
	c := Crash{ID: id, Boot: boot, Service: r.Service, Organisation: r.Organisation, Begun: begun, Trial: trial}
	l.mu.Lock()
	for _, part := range r.Parts {
		if l.known.has(partKey(r.Service, part)) {
			c.Known = append(c.Known, part)
		} else {
			c.Parts = append(c.Parts, part)
		}
	}
	c.Parts = append(c.Parts, r.Fingerprint)
	l.add(c)
	l.mu.Unlock()
	l.publish([]Crash{c})
	return c
}

// Merge adds what another VM knows.
func (l *List) Merge(rows []Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, row := range rows {
		known, found := l.records[row.ID]
		switch {
		case !found:
			l.insert(row)
		case !known.merge(row):
			continue
		default:
			l.Table.Put(row.ID, known.Crash, true)
		}
		changed = true
	}
	if changed {
		l.rebuild()
	}
}

func (l *List) add(c Crash) {
	l.insert(c)
	l.rebuild()
}

func (l *List) insert(c Crash) {
	if len(l.records) >= maxCrashes {
		l.dropOldest()
	}
	l.records[c.ID] = &record{Crash: c, number: l.learned.Add(1), at: time.Now()}
	l.Table.Put(c.ID, c, true)
}

// dropOldest drops the oldest crash of which no part is refused, or else the oldest.
func (l *List) dropOldest() {
	oldest, spare := "", ""
	for id, r := range l.records {
		if oldest == "" || r.number < l.records[oldest].number {
			oldest = id
		}
		if !l.refused(r) && (spare == "" || r.number < l.records[spare].number) {
			spare = id
		}
	}
	if spare == "" {
		spare = oldest
	}
	l.drop(spare)
}

func (l *List) drop(id string) {
	delete(l.records, id)
	l.Table.Delete(id)
}

// refused reports whether a cause explains the crash.
func (l *List) refused(r *record) bool {
	s, found := (*l.index.Load())[r.Service]
	if !found {
		return false
	}
	left := append(r.open(r.Parts), r.open(r.Known)...)
	return slices.ContainsFunc(s.causes, func(c cause) bool { return containsAll(left, c.parts) })
}

// rebuild evaluates the crashes, now or soon.
func (l *List) rebuild() {
	if l.due {
		return
	}
	wait := evaluatePause - time.Since(l.evaluated)
	if len(l.records) < manyCrashes || wait <= 0 {
		l.evaluate()
		return
	}
	l.due = true
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.due = false
		l.evaluate()
	})
}

func (l *List) evaluate() {
	l.evaluated = time.Now()
	built := newIndex(l.records)
	l.index.Store(&built)
	l.announceGroups(built)
	now := time.Now()
	for w := range l.watches {
		s, found := built[w.request.Service]
		if !found {
			continue
		}
		if v := s.judge(w.request, now); v.Refused || v.Likely {
			delete(l.watches, w)
			go w.suspect()
		}
	}
}

// Watch calls suspect once if a request that waits at a target turns out to be the
// likely cause of crashes elsewhere. stop ends that.
func (l *List) Watch(r Request, suspect func()) (stop func()) {
	w := &watch{request: r, suspect: suspect}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watches[w] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watches, w)
	}
}

// Mark returns a number for Sound. It is taken when an answer begins.
func (l *List) Mark() uint64 {
	return l.learned.Load()
}

// Sound records that the answer to a request, which began when Mark returned mark, has
// gone on well. It clears the request's parts of the crashes that were known then.
func (l *List) Sound(mark uint64, r Request) {
	l.mu.Lock()
	for _, part := range r.Parts {
		l.known.add(partKey(r.Service, part))
	}
	var rows []Crash
	for _, known := range l.records {
		if known.Service != r.Service || known.number > mark || !known.clearAll(r.all()) {
			continue
		}
		l.Table.Put(known.ID, known.Crash, true)
		rows = append(rows, known.Crash)
	}
	if len(rows) > 0 {
		l.rebuild()
	}
	l.mu.Unlock()
	l.publish(rows)
}

func (r *record) clearAll(parts []string) (changed bool) {
	for _, part := range parts {
		changed = r.clear(part) || changed
	}
	return changed
}

// Lift clears a part of all crashes, and reports whether it was suspect or refused.
func (l *List) Lift(part string) (found bool) {
	l.mu.Lock()
	var rows []Crash
	for _, known := range l.records {
		if known.clear(part) {
			l.Table.Put(known.ID, known.Crash, true)
			rows = append(rows, known.Crash)
		}
	}
	l.rebuild()
	l.mu.Unlock()
	l.publish(rows)
	return len(rows) > 0
}

func (l *List) publish(rows []Crash) {
	if l.Changed != nil && len(rows) > 0 {
		l.Changed(rows)
	}
}

// Rows returns all crashes.
func (l *List) Rows() (rows []Crash) {
	rows, _ = l.Table.Since(0)
	return rows
}

// BeginTrial reserves the parts of a trial on this VM. It returns false if one of them
// is in another trial here. After true, EndTrial must be called with the same parts.
func (l *List) BeginTrial(service string, parts []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		if l.trials[partKey(service, part)] {
			return false
		}
	}
	for _, part := range parts {
		l.trials[partKey(service, part)] = true
	}
	return true
}

// EndTrial ends a trial.
func (l *List) EndTrial(service string, parts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range parts {
		delete(l.trials, partKey(service, part))
	}
}

// Expire drops the crashes that are no longer needed.
func (l *List) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := len(l.records)
	for id, r := range l.records {
		kept := suspectFor
		if l.refused(r) {
			kept = refusedKept
		}
		if now.Sub(l.heardAt(r)) > kept {
			l.drop(id)
		}
	}
	if len(l.records) != before {
		l.rebuild()
	}
}
