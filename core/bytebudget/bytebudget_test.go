package bytebudget

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

// reading is an answer that is being read.
type reading struct {
	*Loan
	ended bool
}

func open(b *Budget, peer string) *reading {
	r := &reading{}
	r.Loan = b.Open(peer, func() { r.ended = true })
	return r
}

// Answers without an end took all memory. The largest one must end, whoever asks for more.
func TestLargestAnswerIsEnded(t *testing.T) {
	b := New(1 << 20)
	endless, sound := open(b, "faulty"), open(b, "sound")
	for size := int64(0); size <= 900<<10; size += 100 << 10 {
		if err := endless.Resize(size); err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
	}
	if err := sound.Resize(300 << 10); err != nil || !endless.ended || sound.ended {
		t.Errorf("a sound answer: %v, the endless one is ended: %v", err, endless.ended)
	}
	if err := endless.Resize(100 << 10); err == nil {
		t.Error("the endless answer may go on")
	}
	endless.Close()
	if err := sound.Resize(1<<20 + freeAnswerBytes); err != nil {
		t.Errorf("all of the budget for one: %v", err)
	}
	if err := sound.Resize(1<<20 + freeAnswerBytes + 1); !errors.Is(err, ErrUsedUp) {
		t.Errorf("more than the budget for one: %v", err)
	}
}

// A target sent many answers without an end, each of them smaller than a sound one.
func TestManyAnswersOfOnePeerAreItsOwnFault(t *testing.T) {
	b := New(10 << 20)
	sound := open(b, "sound")
	if err := sound.Resize(4 << 20); err != nil {
		t.Fatal(err)
	}
	refused := 0
	var faulty []*reading
	for range 200 {
		answer := open(b, "faulty")
		faulty = append(faulty, answer)
		if answer.Resize(100<<10) != nil || answer.Resize(200<<10) != nil {
			refused++
		}
	}
	// Which of several answers of the same size is ended depends on the order of a map.
	ended := refused
	for _, answer := range faulty {
		if answer.ended {
			ended++
		}
	}
	if sound.ended || ended == 0 {
		t.Errorf("the sound answer is ended: %v; %d others are", sound.ended, ended)
	}
}

// An answer that was read to its end, and is on its way to the caller, must not be ended.
func TestWholeAnswersAreKept(t *testing.T) {
	b := New(1 << 20)
	whole, next := open(b, "a"), open(b, "b")
	if whole.Resize(1<<20) != nil || whole.Keep() != nil {
		t.Fatal("an answer within the budget was refused")
	}
	if err := next.Resize(500 << 10); !errors.Is(err, ErrUsedUp) || whole.ended {
		t.Errorf("the next answer: %v; the whole one is ended: %v", err, whole.ended)
	}
	small := open(b, "b")
	if err := small.Resize(freeAnswerBytes); err != nil {
		t.Errorf("a small answer: %v", err)
	}
}

func TestNothingIsCountedAfterTheEnd(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := New(1 << 20)
		answers := []*reading{}
		for range 20 {
			answers = append(answers, open(b, fmt.Sprint(random.IntN(3))))
		}
		for range 500 {
			r := answers[random.IntN(len(answers))]
			switch random.IntN(10) {
			case 0:
				r.Close()
			case 1:
				_ = r.Keep()
			default:
				_ = r.Resize(random.Int64N(400 << 10))
			}
			if b.used > b.limit && b.largest() != nil {
				t.Fatalf("seed %d: %d bytes are used", seed, b.used)
			}
		}
		for _, r := range answers {
			r.Close()
		}
		if b.used != 0 || len(b.loans) != 0 {
			t.Errorf("seed %d: %d bytes of %d answers are left", seed, b.used, len(b.loans))
		}
	}
}
