package drain

import (
	"testing"
	"time"
)

// Admission and the end of the process went by different clocks, so that requests were
// taken that could not end.
func TestWhatIsTakenCanEnd(t *testing.T) {
	begun := time.Now()
	for _, grace := range []time.Duration{time.Second, 8 * time.Second, 5 * time.Minute} {
		s := Stop{Begun: begun, Accept: grace / 4, Grace: grace}
		end := begun.Add(grace)
		if !s.AcceptUntil().Before(s.AnswerBy()) || !s.AnswerBy().Before(s.CloseAt()) || !s.CloseAt().Before(end) {
			t.Errorf("grace %v: accepts until %v, answers by %v, closes at %v", grace, s.AcceptUntil().Sub(begun), s.AnswerBy().Sub(begun), s.CloseAt().Sub(begun))
		}
		if lastSixth := begun.Add(grace * 5 / 6); s.AnswerBy().Before(lastSixth) {
			t.Errorf("grace %v: requests that run are ended before its last sixth", grace)
		}
		early, late := begun.Add(grace/8), begun.Add(grace/2)
		for _, test := range []struct {
			name           string
			now, deadline  time.Time
			once, repeated bool
		}{
			{"early, ends in time", early, s.AnswerBy(), true, true},
			{"early, may not end", early, s.AnswerBy().Add(1), false, true},
			{"late, ends in time", late, s.AnswerBy(), true, true},
			{"late, may not end", late, s.AnswerBy().Add(1), false, false},
		} {
			if got := s.Takes(test.now, test.deadline, false); got != test.once {
				t.Errorf("grace %v, %s, runs once: taken %v", grace, test.name, got)
			}
			if got := s.Takes(test.now, test.deadline, true); got != test.repeated {
				t.Errorf("grace %v, %s, may be repeated: taken %v", grace, test.name, got)
			}
		}
	}
}
