package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minGroupTargets is the number of targets of a service that crash within groupWindow of
	// each other for their crashes to be taken as having a common cause.
	minGroupTargets = 6
	// groupWindow allows for the time after which a VM hears of crashes of other regions.
	groupWindow = time.Second
	// unlikelyDeviations is by how many standard deviations more answers with a part must
	// have begun than its share of the requests explains.
	unlikelyDeviations = 2
	// missingDivisor is how much rarer a part must be missing at the targets of a group than
	// one that has nothing to do with it.
	missingDivisor = 2
	// tellingTargets is the number of targets at which such a part is expected to be
	// missing. Below it, the part is in almost all requests, and its presence says little.
	tellingTargets = 2
)

// CrashGroup describes crashes of a service that are taken to have a common cause.
type CrashGroup struct {
	Service   string
	Targets   int      // that have crashed
	Requests  int      // that these were about to answer
	Begun     int      // requests whose answer had begun
	Dismissed int      // parts that the crashes don't make suspect
	Kept      []string // parts that they make suspect
}

// crashGroup holds the crashes of one service that a VM has heard of at almost the same
// time. Each VM groups by its own times, and judges parts by the crashes alone, so that VMs
// that group alike judge alike.
type crashGroup struct {
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

// verdict says whether the crashes of a group speak against a part.
type verdict struct {
	suspect bool
	likely  bool // requests with it that wait at targets are taken back
}

func newCrashGroup(service string, began time.Time) *crashGroup {
	return &crashGroup{
		service: service, began: began, boots: map[string]bool{}, parts: map[string]*rowCount{}, open: map[string]int{}, verdicts: map[string]verdict{},
	}
}

// findGroups returns the group of each target that crashed in one.
func findGroups(rows []*record) (byBoot map[string]*crashGroup) {
	crashes := firstHeard(rows)
	byBoot = map[string]*crashGroup{}
	var last *crashGroup
	end := 0 // of the crashes that are in a group
	for i := 0; i+minGroupTargets <= len(crashes); i++ {
		if crashes[i+minGroupTargets-1].at.Sub(crashes[i].at) > groupWindow {
			continue
		}
		if last == nil || i >= end {
			last = newCrashGroup(rows[0].Service, crashes[i].at)
			end = i
		}
		for ; end < i+minGroupTargets; end++ {
			last.boots[crashes[end].boot] = true
			byBoot[crashes[end].boot] = last
		}
	}
	for _, r := range rows {
		if g := byBoot[r.Boot]; g != nil {
			g.add(r)
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

func (g *crashGroup) add(r *record) {
	g.rows.add(r.Begun)
	for _, parts := range [][]string{r.Parts, r.Known} {
		for _, part := range parts {
			if g.parts[part] == nil {
				g.parts[part] = &rowCount{}
			}
			g.parts[part].add(r.Begun)
		}
	}
}

// likely reports whether a suspect part, with which an answer had begun, is a likely cause.
// It always is for crashes outside of groups.
func (g *crashGroup) likely(part string) bool {
	return g == nil || g.verdicts[part].likely
}

// beganTooOften reports whether more answers to requests with a part had begun than its
// share of the requests that only waited explains.
func (g *crashGroup) beganTooOften(part string) bool {
	counts := g.parts[part]
	share := (float64(counts.waited) + 0.5) / (float64(g.rows.waited) + 1)
	expected := share * float64(g.rows.begun)
	excess := float64(counts.begun) - expected
	return counts.begun >= crashesToRefuse && excess >= unlikelyDeviations*math.Sqrt(expected*(1-share))
}

// evidence is what the crashes of a service say about the parts of those in groups.
type evidence struct {
	groups map[string]*crashGroup     // by boot
	boots  map[string]map[string]bool // crashed targets by part
	known  map[string]bool            // parts with which answers had gone on well before
}

func newEvidence(groups map[string]*crashGroup, rows []*record, candidates []candidate) evidence {
	e := evidence{groups: groups, boots: map[string]map[string]bool{}, known: map[string]bool{}}
	for _, r := range rows {
		for _, part := range r.Known {
			e.known[part] = true
		}
	}
	for _, c := range candidates {
		if g := groups[c.Boot]; g != nil {
			g.open[c.Boot]++
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

// dismiss returns the candidates without the parts that groups don't speak against.
func (e evidence) dismiss(candidates []candidate) (left []candidate) {
	for _, c := range candidates {
		if g := e.groups[c.Boot]; g != nil {
			c.parts = slices.DeleteFunc(slices.Clone(c.parts), func(part string) bool { return !e.verdict(g, part).suspect })
		}
		if len(c.parts) > 0 {
			left = append(left, c)
		}
	}
	return left
}

func (e evidence) verdict(g *crashGroup, part string) verdict {
	v, found := g.verdicts[part]
	if !found {
		v = e.judge(g, part)
		g.verdicts[part] = v
	}
	return v
}

// judge returns whether a group speaks against a part. Popular parts are at many targets of any
// group, but answers with them have gone on well before. A part of which that isn't known is
// suspect, as outside of groups, if an answer with it had begun, or from its second crash on.
func (e evidence) judge(g *crashGroup, part string) verdict {
	if !e.known[part] {
		suspect := g.parts[part].begun > 0 || len(e.boots[part]) >= crashesToRefuse
		return verdict{suspect: suspect, likely: suspect}
	}
	if e.outsideGroups(part) || g.beganTooOften(part) {
		return verdict{suspect: true, likely: true}
	}
	missing, expected := e.missing(g, part)
	suspect := 2*missing < len(g.boots) && float64(missing) <= expected/missingDivisor
	return verdict{suspect: suspect, likely: suspect && expected >= tellingTargets}
}

// missing returns at how many targets of a group a part is not among the possible causes,
// and at how many it would not be if it had nothing to do with the group.
func (e evidence) missing(g *crashGroup, part string) (missing int, expected float64) {
	counts := g.parts[part]
	without := 1 - float64(counts.begun+counts.waited)/float64(g.rows.begun+g.rows.waited)
	for boot := range g.boots {
		if !e.boots[part][boot] {
			missing++
		}
		expected += math.Pow(without, float64(g.open[boot]))
	}
	return missing, expected
}

// outsideGroups reports whether a target crashed at the part apart from any group.
func (e evidence) outsideGroups(part string) bool {
	for boot := range e.boots[part] {
		if e.groups[boot] == nil {
			return true
		}
	}
	return false
}

func (g *crashGroup) describe() CrashGroup {
	d := CrashGroup{Service: g.service, Targets: len(g.boots), Requests: g.rows.begun + g.rows.waited, Begun: g.rows.begun}
	for part, v := range g.verdicts {
		if v.suspect {
			d.Kept = append(d.Kept, part)
		} else {
			d.Dismissed++
		}
	}
	slices.Sort(d.Kept)
	return d
}

// announceGroups has OnCrashGroup called once for each new group, after groupWindow, when most
// of its crashes are known.
func (l *List) announceGroups(built index) {
	reported, isNew := map[string]bool{}, map[*crashGroup]bool{}
	for _, s := range built {
		for _, g := range s.groups {
			isNew[g] = true
		}
		for boot, g := range s.groups {
			reported[boot] = true
			isNew[g] = isNew[g] && !l.reported[boot]
		}
	}
	for g, fresh := range isNew {
		if fresh && l.OnCrashGroup != nil {
			time.AfterFunc(groupWindow, func() { l.reportGroup(g) })
		}
	}
	l.reported = reported
}

// reportGroup calls OnCrashGroup with what is known now of a group.
func (l *List) reportGroup(g *crashGroup) {
	if s, found := (*l.index.Load())[g.service]; found {
		for boot := range g.boots {
			g = cmp.Or(s.groups[boot], g)
		}
	}
	l.OnCrashGroup(g.describe())
}

// heardAt returns when this VM heard of a crash. Crashes of a group count from its first
// one, so that they expire together: a rest of few targets would make their parts suspect.
func (l *List) heardAt(r *record) time.Time {
	if s, found := (*l.index.Load())[r.Service]; found && s.groups[r.Boot] != nil {
		return s.groups[r.Boot].began
	}
	return r.at
}
