package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// waveTargets is the number of targets of a service that crash within waveLasts of
	// each other for their crashes to be taken as having a common cause.
	waveTargets = 6
	// waveLasts allows for the time after which a VM hears of crashes of other regions.
	waveLasts = time.Second
	// unlikelyDeviations is by how many standard deviations more answers with a part must
	// have begun than its share of the requests explains.
	unlikelyDeviations = 2
	// missingDivisor is how much rarer a part must be missing at the targets of a wave than
	// one that has nothing to do with it.
	missingDivisor = 2
	// tellingTargets is the number of targets at which such a part is expected to be
	// missing. Below it, the part is in almost all requests, and its presence says little.
	tellingTargets = 2
)

// Wave describes crashes of a service that are taken to have a common cause.
type Wave struct {
	Service   string
	Targets   int      // that have crashed
	Requests  int      // that these were about to answer
	Begun     int      // requests whose answer had begun
	Dismissed int      // parts that aren't suspect for the wave
	Kept      []string // parts that are
}

// wave is a group of crashes of one service that a VM has heard of at almost the same
// time. Times only group crashes; which parts stay suspect is a function of the crashes.
type wave struct {
	service  string
	began    time.Time // when this VM heard of the first crash
	boots    map[string]bool
	rows     rowCount
	parts    map[string]*rowCount
	open     map[string]int // requests that may be the cause, by target
	verdicts map[string]verdict
}

// rowCount counts requests by whether their answer had begun.
type rowCount struct {
	begun, waited int
}

func (c *rowCount) add(begun bool) {
	if begun {
		c.begun++
	} else {
		c.waited++
	}
}

// verdict says what a wave speaks against a part.
type verdict struct {
	suspect bool
	likely  bool // requests with it that wait at targets are taken back
}

func newWave(service string, began time.Time) *wave {
	return &wave{
		service: service, began: began, boots: map[string]bool{}, parts: map[string]*rowCount{}, open: map[string]int{}, verdicts: map[string]verdict{},
	}
}

// findWaves returns the wave of each target that crashed in one.
func findWaves(rows []*record) (byBoot map[string]*wave) {
	crashes := firstHeard(rows)
	byBoot = map[string]*wave{}
	var last *wave
	end := 0 // of the crashes that are in a wave
	for i := 0; i+waveTargets <= len(crashes); i++ {
		if crashes[i+waveTargets-1].at.Sub(crashes[i].at) > waveLasts {
			continue
		}
		if last == nil || i >= end {
			last = newWave(rows[0].Service, crashes[i].at)
			end = i
		}
		for ; end < i+waveTargets; end++ {
			last.boots[crashes[end].boot] = true
			byBoot[crashes[end].boot] = last
		}
	}
	for _, r := range rows {
		if w := byBoot[r.Boot]; w != nil {
			w.add(r)
		}
	}
	return byBoot
}

// heard is when this VM first heard of the crash of a target.
type heard struct {
	boot string
	at   time.Time
}

// firstHeard returns the crashed targets in the order in which this VM heard of them.
func firstHeard(rows []*record) (crashes []heard) {
	first := map[string]time.Time{}
	for _, r := range rows {
		if at, found := first[r.Boot]; !found || r.at.Before(at) {
			first[r.Boot] = r.at
		}
	}
	for boot, at := range first {
		crashes = append(crashes, heard{boot: boot, at: at})
	}
	slices.SortFunc(crashes, func(a, b heard) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.boot, b.boot))
	})
	return crashes
}

func (w *wave) add(r *record) {
	w.rows.add(r.Begun)
	for _, parts := range [][]string{r.Parts, r.Known} {
		for _, part := range parts {
			if w.parts[part] == nil {
				w.parts[part] = &rowCount{}
			}
			w.parts[part].add(r.Begun)
		}
	}
}

// likely reports whether a suspect part, with which an answer had begun, is a likely cause.
// It always is for crashes without a wave.
func (w *wave) likely(part string) bool {
	return w == nil || w.verdicts[part].likely
}

// beganTooOften reports whether more answers to requests with a part had begun than its
// share of the requests that only waited explains.
func (w *wave) beganTooOften(part string) bool {
	counts := w.parts[part]
	share := (float64(counts.waited) + 0.5) / (float64(w.rows.waited) + 1)
	expected := share * float64(w.rows.begun)
	excess := float64(counts.begun) - expected
	return counts.begun >= crashesToRefuse && excess >= unlikelyDeviations*math.Sqrt(expected*(1-share))
}

// evidence is what the crashes of a service say about the parts of those in waves.
type evidence struct {
	waves map[string]*wave           // by boot
	boots map[string]map[string]bool // crashed targets by part
	known map[string]bool            // parts with which answers had gone on well before
}

func newEvidence(waves map[string]*wave, rows []*record, candidates []candidate) evidence {
	e := evidence{waves: waves, boots: map[string]map[string]bool{}, known: map[string]bool{}}
	for _, r := range rows {
		for _, part := range r.Known {
			e.known[part] = true
		}
	}
	for _, c := range candidates {
		if w := waves[c.Boot]; w != nil {
			w.open[c.Boot]++
		}
		for _, part := range c.parts {
			if e.boots[part] == nil {
				e.boots[part] = map[string]bool{}
			}
			e.boots[part][c.Boot] = true
		}
	}
	return e
}

// dismiss returns the candidates without the parts that waves don't speak against.
func (e evidence) dismiss(candidates []candidate) (left []candidate) {
	for _, c := range candidates {
		if w := e.waves[c.Boot]; w != nil {
			c.parts = slices.DeleteFunc(slices.Clone(c.parts), func(part string) bool { return !e.verdict(w, part).suspect })
		}
		if len(c.parts) > 0 {
			left = append(left, c)
		}
	}
	return left
}

func (e evidence) verdict(w *wave, part string) verdict {
	v, found := w.verdicts[part]
	if !found {
		v = e.weigh(w, part)
		w.verdicts[part] = v
	}
	return v
}

// weigh returns what a wave speaks against a part. Popular parts are at many targets of any
// wave, but answers with them have gone on well before. A part of which that isn't known is
// suspect as without a wave if an answer with it had begun, or from its second crash on.
func (e evidence) weigh(w *wave, part string) verdict {
	if !e.known[part] {
		suspect := w.parts[part].begun > 0 || len(e.boots[part]) >= crashesToRefuse
		return verdict{suspect: suspect, likely: suspect}
	}
	if e.outsideWaves(part) || w.beganTooOften(part) {
		return verdict{suspect: true, likely: true}
	}
	missing, expected := e.missing(w, part)
	suspect := 2*missing < len(w.boots) && float64(missing) <= expected/missingDivisor
	return verdict{suspect: suspect, likely: suspect && expected >= tellingTargets}
}

// missing returns at how many targets of a wave a part is not among the possible causes,
// and at how many it would not be if it had nothing to do with the wave.
func (e evidence) missing(w *wave, part string) (missing int, expected float64) {
	counts := w.parts[part]
	without := 1 - float64(counts.begun+counts.waited)/float64(w.rows.begun+w.rows.waited)
	for boot := range w.boots {
		if !e.boots[part][boot] {
			missing++
		}
		expected += math.Pow(without, float64(w.open[boot]))
	}
	return missing, expected
}

// outsideWaves reports whether a target crashed at the part apart from any wave.
func (e evidence) outsideWaves(part string) bool {
	for boot := range e.boots[part] {
		if e.waves[boot] == nil {
			return true
		}
	}
	return false
}

func (w *wave) describe() Wave {
	d := Wave{Service: w.service, Targets: len(w.boots), Requests: w.rows.begun + w.rows.waited, Begun: w.rows.begun}
	for part, v := range w.verdicts {
		if v.suspect {
			d.Kept = append(d.Kept, part)
		} else {
			d.Dismissed++
		}
	}
	slices.Sort(d.Kept)
	return d
}

// announceWaves has Settled called for the waves that are new.
func (l *List) announceWaves(built index) {
	settled, isNew := map[string]bool{}, map[*wave]bool{}
	for _, s := range built {
		for _, w := range s.waves {
			isNew[w] = true
		}
		for boot, w := range s.waves {
			settled[boot] = true
			isNew[w] = isNew[w] && !l.settled[boot]
		}
	}
	for w, fresh := range isNew {
		if fresh && l.Settled != nil {
			time.AfterFunc(waveLasts, func() { l.settle(w) })
		}
	}
	l.settled = settled
}

// settle calls Settled with what is known now of a wave.
func (l *List) settle(w *wave) {
	if s, found := (*l.index.Load())[w.service]; found {
		for boot := range w.boots {
			w = cmp.Or(s.waves[boot], w)
		}
	}
	l.Settled(w.describe())
}

// heardAt returns when this VM heard of a crash. Crashes of a wave count from its first
// one, so that they expire together: a rest of few targets would make their parts suspect.
func (l *List) heardAt(r *record) time.Time {
	if s, found := (*l.index.Load())[r.Service]; found && s.waves[r.Boot] != nil {
		return s.waves[r.Boot].began
	}
	return r.at
}
