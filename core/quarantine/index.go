package quarantine

import (
	"slices"
	"strings"
	"time"
)

const (
	// firstRefusal is how long parts are refused after their second crash. It doubles
	// with each further crash, up to longestRefusal.
	firstRefusal   = 2 * time.Minute
	longestRefusal = 4 * time.Hour
	// crashesToRefuse is the number of crashes, one of them in a trial, after which
	// parts are refused.
	crashesToRefuse = 2
)

// index is what the crashes of a list say about the requests for each service. It is
// immutable.
type index map[string]*serviceIndex

type serviceIndex struct {
	suspects map[string]bool // parts that may have caused a crash; true if an answer with it had begun
	causes   []cause
	groups   map[string]*crashGroup // by target that crashed in one
}

// cause is a set of parts of which one has crashed targets repeatedly.
type cause struct {
	parts         []string
	organisations map[string]bool // whose requests have crashed targets
	crashes       int
	last          time.Time // when this VM heard of the last crash
}

// until returns when a request with the cause may be tried again.
func (c cause) until() time.Time {
	refusal := firstRefusal
	for range c.crashes - crashesToRefuse {
		refusal = min(2*refusal, longestRefusal)
	}
	return c.last.Add(refusal)
}

// refuses reports whether requests of an organisation with the cause aren't run. As
// long as only one organisation's requests have crashed targets, those of others are
// tried: what they share with it may be harmless.
func (c cause) refuses(organisation string, now time.Time) bool {
	if len(c.organisations) < 2 && !c.organisations[organisation] {
		return false
	}
	return now.Before(c.until())
}

// newIndex evaluates crashes.
func newIndex(records map[string]*record) index {
	byService := map[string][]*record{}
	for _, r := range records {
		byService[r.Service] = append(byService[r.Service], r)
	}
	built := index{}
	for service, rows := range byService {
		if s := newServiceIndex(rows); len(s.suspects)+len(s.causes)+len(s.groups) > 0 {
			built[service] = s
		}
	}
	return built
}

// candidate is a crash with the parts that may have caused it.
type candidate struct {
	*record
	parts []string
}

func newServiceIndex(rows []*record) *serviceIndex {
	groups := findGroups(rows)
	candidates := findCandidates(rows)
	if len(groups) > 0 {
		candidates = newEvidence(groups, rows, candidates).dismiss(candidates)
	}
	s := &serviceIndex{suspects: map[string]bool{}, causes: findCauses(candidates), groups: groups}
	explained := map[string]bool{}
	for _, c := range candidates {
		if slices.ContainsFunc(s.causes, func(found cause) bool { return containsAll(c.parts, found.parts) }) {
			explained[c.Boot] = true
		}
	}
	for _, c := range candidates {
		if explained[c.Boot] {
			continue
		}
		for _, part := range c.parts {
			s.suspects[part] = s.suspects[part] || c.Begun && groups[c.Boot].likely(part)
		}
	}
	return s
}

// findCandidates returns the crashes that a part may have caused. Where a target had
// begun an answer, the requests that only waited there haven't crashed it.
func findCandidates(rows []*record) (candidates []candidate) {
	begun := map[string]bool{}
	boots := map[string]map[string]bool{} // by part
	for _, r := range rows {
		begun[r.Boot] = begun[r.Boot] || r.Begun
		for _, part := range r.open(r.Known) {
			if boots[part] == nil {
				boots[part] = map[string]bool{}
			}
			boots[part][r.Boot] = true
		}
	}
	for _, r := range rows {
		if begun[r.Boot] && !r.Begun {
			continue
		}
		parts := r.open(r.Parts)
		for _, part := range r.open(r.Known) {
			// A part that was harmless may no longer be, with other weights for instance.
			if len(boots[part]) >= crashesToRefuse {
				parts = append(parts, part)
			}
		}
		if len(parts) > 0 {
			candidates = append(candidates, candidate{record: r, parts: parts})
		}
	}
	return candidates
}

// findCauses returns the smallest sets of parts that are common to two crashes of
// which one came in a trial.
func findCauses(candidates []candidate) (causes []cause) {
	seen := map[string]bool{}
	for _, a := range candidates {
		if !a.Trial {
			continue
		}
		for _, b := range candidates {
			if a.Boot == b.Boot {
				continue
			}
			parts := common(a.parts, b.parts)
			key := strings.Join(parts, "\x00")
			if len(parts) == 0 || seen[key] {
				continue
			}
			seen[key] = true
			causes = append(causes, newCause(parts, candidates))
		}
	}
	return slices.DeleteFunc(causes, func(c cause) bool {
		return slices.ContainsFunc(causes, func(other cause) bool {
			return len(other.parts) < len(c.parts) && containsAll(c.parts, other.parts)
		})
	})
}

func newCause(parts []string, candidates []candidate) cause {
	c := cause{parts: parts, organisations: map[string]bool{}}
	boots := map[string]bool{}
	for _, candidate := range candidates {
		if !containsAll(candidate.parts, parts) {
			continue
		}
		boots[candidate.Boot] = true
		c.organisations[candidate.Organisation] = true
		if candidate.at.After(c.last) {
			c.last = candidate.at
		}
	}
	c.crashes = len(boots)
	return c
}

// common returns the parts that are in both lists, sorted.
func common(a, b []string) (parts []string) {
	for _, part := range a {
		if slices.Contains(b, part) {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

func containsAll(all, some []string) bool {
	for _, part := range some {
		if !slices.Contains(all, part) {
			return false
		}
	}
	return true
}

// judge returns what is known of a request with these parts.
func (s *serviceIndex) judge(r Request, now time.Time) (v Verdict) {
	suspects, parts := map[string]bool{}, r.all()
	begun := false
	for _, c := range s.causes {
		if containsAll(parts, c.parts) && c.refuses(r.Organisation, now) {
			return Verdict{Refused: true, Parts: c.parts, Until: c.until()}
		}
		// With only some of the parts, the request may be harmless.
		for _, part := range common(c.parts, parts) {
			suspects[part], begun = true, true
		}
	}
	for _, part := range parts {
		answerBegan, suspect := s.suspects[part]
		if suspect || suspects[part] {
			v.Parts = append(v.Parts, part)
			begun = begun || answerBegan
		}
	}
	v.Suspect = len(v.Parts) > 0
	v.Likely = begun
	return v
}
