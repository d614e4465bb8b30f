package place

import (
	"fmt"
	"testing"
	"time"
)

// Requests for long parts come evenly to three regions of equal size. With reading
// that takes longer than the way between regions, each part is read in one region as
// long as it isn't used often; with short parts each region reads its own.
func TestLongPartsAreReadInOneRegion(t *testing.T) {
	const parts, uses, away = 60, 6, 120 * time.Millisecond
	regions := []string{"a", "b", "c"}
	for name, test := range map[string]struct {
		tokens      int
		most, least int // reads of a part, over all parts
	}{
		"long parts":  {60_000, parts * 12 / 10, parts},
		"short parts": {1_000, 3 * parts, 2 * parts},
	} {
		placers := map[string]*Placer{}
		for _, region := range regions {
			p := placersOf(region, 5)
			for _, other := range regions {
				if other != region {
					p.remote = append(p.remote, Remote{Service: "llm", DataCentre: other, Region: other, Targets: 5})
				}
			}
			placers[region] = p
		}
		reads := map[string]bool{}
		for i := range parts * uses {
			now := start.Add(time.Duration(i) * 200 * time.Millisecond)
			part := fmt.Sprint("p", i%parts)
			r := Request{
				Service: "llm", Sticky: true, Now: now, Deadline: now.Add(time.Minute), Memory: 10_000_000, Coordinated: true, AwayTime: away, PreferredBound: time.Minute,
				Demand: Demand{Prompt: test.tokens + 10, Output: 10, Parts: []Part{{part, test.tokens}, {fmt.Sprint("own", i), 10}}},
			}
			region := regions[i/parts%3]
			p := placers[region]
			home, other := p.HomeRegion(r, func(string) bool { return true })
			r.MayForward = other
			assignment, _, reason := p.Pick(r)
			if reason == Elsewhere {
				r.MayForward = false
				region = home
				assignment, _, reason = placers[home].Pick(r)
			}
			if assignment == nil {
				t.Fatalf("%s, request %d: %s", name, i, reason)
			}
			answered := now.Add(defaultBase)
			if !reads[region+part] {
				answered = answered.Add(defaultTokenTime * time.Duration(test.tokens))
			}
			reads[region+part] = true
			assignment.Answered(answered)
			assignment.Done(Success, answered)
		}
		t.Logf("%s: %d parts were read %d times", name, parts, len(reads))
		if len(reads) > test.most || len(reads) < test.least {
			t.Errorf("%s: %d parts were read %d times, want %d to %d", name, parts, len(reads), test.least, test.most)
		}
	}
}

// A part that is used again and again in a region is read there after some requests.
func TestOftenUsedPartIsReadHere(t *testing.T) {
	p := placersOf("here", 5)
	p.remote = []Remote{{Service: "llm", DataCentre: "there", Region: "there", Targets: 500}}
	sent := 0
	for i := range 20 {
		r := Request{
			Service: "llm", Sticky: true, Now: start, Deadline: start.Add(time.Minute), MayForward: true, AwayTime: 100 * time.Millisecond, PreferredBound: time.Minute,
			Demand: Demand{Prompt: 50_010, Parts: []Part{{"p", 50_000}, {fmt.Sprint(i), 10}}},
		}
		if _, _, reason := p.Pick(r); reason == Elsewhere {
			sent++
		}
	}
	reading := defaultTokenTime * 50_000
	if want := int(reading / (100 * time.Millisecond)); sent != want {
		t.Errorf("%d requests were sent away, want %d: reading takes %v", sent, want, reading)
	}
}
