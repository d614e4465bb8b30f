package bytebudget

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// The bodies of one caller took all memory, so that those of others were refused.
func TestBodiesOfOnePeerLeaveRoomForOthers(t *testing.T) {
	b := NewForBodies(32 << 20)
	taken := 0
	for range 50 {
		if b.Open("greedy", nil).Reserve(4<<20) == nil {
			taken++
		}
	}
	if taken < 2 || taken > 4 {
		t.Errorf("one peer has %d bodies of 4 MB of a budget of 32 MB", taken)
	}
	for _, peer := range []string{"second", "third"} {
		if err := b.Open(peer, nil).Reserve(4 << 20); err != nil {
			t.Errorf("the %s peer: %v", peer, err)
		}
	}
	for range 1000 {
		if err := b.Open("greedy", nil).Reserve(freeBodyBytes); err != nil {
			t.Fatalf("a small body of the greedy peer: %v", err)
		}
	}
}

// A body that has come whole must not be given up for others, and one that nobody else competes
// with may take all.
func TestBodiesAreRefusedAndNotEnded(t *testing.T) {
	b := NewForBodies(10 << 20)
	alone := b.Open("a", nil)
	if err := alone.Reserve(10<<20 + freeBodyBytes); err != nil {
		t.Fatalf("a body that takes all: %v", err)
	}
	next := b.Open("b", nil)
	if err := next.Reserve(1 << 20); !errors.Is(err, ErrUsedUp) {
		t.Errorf("a body beside one that takes all: %v", err)
	}
	if err := alone.Keep(); err != nil {
		t.Errorf("the body that takes all: %v", err)
	}
	if err := b.Open("c", nil).Reserve(10<<20 + freeBodyBytes + 1); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a body larger than the budget: %v", err)
	}
	alone.Close()
	if free := b.Free(); free != 10<<20 {
		t.Errorf("%d bytes are free at the end", free)
	}
}

// A reservation counts until the end, also while little has come.
func TestReservationsCountWhileBodiesCome(t *testing.T) {
	b := NewForBodies(32 << 20)
	loan := b.Open("a", nil)
	if err := loan.Reserve(1<<20 + 1); err != nil {
		t.Fatal(err)
	}
	reserved := b.Free()
	body, err := ReadWhole(strings.NewReader(strings.Repeat("x", 1<<20)), 1<<20, 4<<20, loan)
	if err != nil || body.Size() != 1<<20 || b.Free() != reserved {
		t.Errorf("%v; %d bytes are free, %d after the reservation", err, b.Free(), reserved)
	}
	body.Close()
	if b.Free() != 32<<20 {
		t.Errorf("%d bytes are free after the end", b.Free())
	}
}

func TestBodiesStayWithinTheirBudget(t *testing.T) {
	const limit = 1 << 20
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		b := NewForBodies(limit)
		open := []*Loan{}
		for range 500 {
			switch {
			case random.IntN(3) == 0 && len(open) > 0:
				i := random.IntN(len(open))
				open[i].Close()
				open = slices.Delete(open, i, i+1)
			case random.IntN(2) == 0 && len(open) > 0:
				_ = open[random.IntN(len(open))].Resize(random.Int64N(limit))
			default:
				loan := b.Open(string(rune('a'+random.IntN(4))), nil)
				_ = loan.Reserve(random.Int64N(limit / 4))
				open = append(open, loan)
			}
			if free := b.Free(); free < 0 || free > limit {
				t.Fatalf("seed %d: %d of %d bytes are free", seed, free, limit)
			}
		}
		for _, loan := range open {
			loan.Close()
		}
		if free := b.Free(); free != limit || len(b.peers) > 0 || len(b.loans) > 0 {
			t.Fatalf("seed %d: %d of %d bytes are free at the end, %d peers", seed, free, limit, len(b.peers))
		}
	}
}
