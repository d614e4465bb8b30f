package targetlimit

import (
	"math"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func TestParse(t *testing.T) {
	tests := []struct {
		values []string
		want   Notice
		valid  bool
	}{
		{nil, Notice{}, true},
		{[]string{"2.5"}, Notice{true, 2.5}, true},
		{[]string{" 0 "}, Notice{true, 0}, true},
		{[]string{"0.25"}, Notice{true, 0.25}, true},
		{[]string{"-1"}, Notice{}, false},
		{[]string{"NaN"}, Notice{}, false},
		{[]string{"inf"}, Notice{}, false},
		{[]string{"1e3"}, Notice{}, false},
		{[]string{"0x10"}, Notice{}, false},
		{[]string{"1e999"}, Notice{}, false},
		{[]string{strings.Repeat("9", 400)}, Notice{}, false},
		{[]string{"1.2.3"}, Notice{}, false},
		{[]string{""}, Notice{}, false},
		{[]string{"two"}, Notice{}, false},
		{[]string{"2, 3"}, Notice{}, false},
		{[]string{"2", "3"}, Notice{}, false},
	}
	for _, test := range tests {
		got, err := Parse(test.values)
		if got != test.want || (err == nil) != test.valid {
			t.Errorf("%q: %+v, %v", test.values, got, err)
		}
		if err != nil && len(err.Error()) > 200 {
			t.Errorf("%q: the error has %d bytes", test.values, len(err.Error()))
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("2.5")
	f.Fuzz(func(t *testing.T, value string) {
		n, err := Parse([]string{value})
		if err == nil && (!n.Named || math.IsNaN(n.Rate) || n.Rate < 0 || n.Rate > highest) {
			t.Errorf("%q: %+v", value, n)
		}
	})
}

// sent returns how many requests are sent from start on, for a while, one as soon as it
// may be.
func (l *Limit) sent(from time.Time, duration time.Duration) (count int) {
	for now := from; now.Before(from.Add(duration)); now = now.Add(time.Millisecond) {
		for l.Wait(now) == 0 {
			l.Take(now)
			count++
		}
	}
	return count
}

// In any 4s no more than the limit allows, and nearly as much, also below 1 a second and
// after a pause.
func TestRequestsStayWithinTheLimit(t *testing.T) {
	for _, rate := range []float64{0, 0.25, 0.8, 2.6, 40} {
		var l Limit
		l.Observe(Notice{true, rate}, start, start)
		if count, most := l.sent(start, 20*time.Second), int(20*max(rate, lowest))+1; count > most || count < most-2 {
			t.Errorf("limit %v: %d in 20 s", rate, count)
		}
		paused := start.Add(time.Minute)
		if count, most := l.sent(paused, 4*time.Second), int(4*max(rate, lowest)+rate)+2; count > most {
			t.Errorf("limit %v: %d in 4 s after a pause", rate, count)
		}
	}
}

// A limit ends with an answer without one, if its request was sent after an answer that
// named one, and with nothing else.
func TestLimitEnds(t *testing.T) {
	var l Limit
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	if !l.Observe(Notice{true, 2}, at(0), at(1)) || l.Wait(at(1)) == 0 {
		t.Fatal("the limit doesn't hold at once")
	}
	l.Observe(Notice{}, at(0.5), at(1.1))
	if !l.Named {
		t.Error("an answer to an earlier request has ended the limit")
	}
	if !l.Observe(Notice{true, 5}, at(0.6), at(1.2)) || l.Rate != 5 {
		t.Error("another limit isn't taken")
	}
	l.Observe(Notice{true, 2}, at(0.2), at(1.15))
	if l.Rate != 5 {
		t.Error("an older answer is taken")
	}
	if at(100).Sub(l.Newest()) < time.Minute || l.Wait(at(100)) != 0 || !l.Named {
		t.Error("the limit has ended by itself")
	}
	if !l.Observe(Notice{}, at(1.3), at(1.4)) || l.Wait(at(1.4)) != 0 {
		t.Error("the limit has not ended")
	}
}
