// Package bytebudget bounds the memory that all messages of one kind take together while they
// are read or passed on: answers of targets, or bodies of requests. Each message borrows its
// bytes from one budget.
//
// When a budget for answers is used up, the largest answer of the peer with the most bytes is
// ended, so that a peer whose answers have no end costs others nothing. A budget for bodies
// refuses a body before it is read, or while it grows: no peer may take more than is left for
// all others, so that there is always room for the bodies of one more.
package bytebudget

import (
	"cmp"
	"errors"
	"sync"
)

const (
	// freeAnswerBytes and freeBodyBytes of each message aren't counted, so that small ones
	// never wait for a lock and are never refused or ended for others. Callers may open more
	// connections than targets answer on.
	freeAnswerBytes = 32 << 10
	freeBodyBytes   = 8 << 10
)

// ErrUsedUp is the error of a message that was refused or ended because all of its kind take
// as much memory as they may, and those of its peer take most.
var ErrUsedUp = errors.New("all messages take too much memory together, and those of this peer take most")

// Budget is a number of bytes that messages may take together. Its methods are safe for
// concurrent use. A nil budget has no bound.
type Budget struct {
	mu     sync.Mutex
	limit  int64
	free   int64 // of each message, not counted
	bodies bool
	used   int64            // by the loans that aren't ended
	loans  map[*Loan]bool   // with counted bytes
	peers  map[string]int64 // counted bytes
}

// New returns a budget for answers of a number of bytes, nil if that is 0.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit, free: freeAnswerBytes, loans: map[*Loan]bool{}, peers: map[string]int64{}}
}

// NewForBodies returns a budget for bodies of requests of a number of bytes, nil if that is 0.
func NewForBodies(limit int64) *Budget {
	b := New(limit)
	if b != nil {
		b.free, b.bodies = freeBodyBytes, true
	}
	return b
}

// Loan is the part of the budget that one message has. Its methods are for the goroutine that
// reads the message. A nil loan has no bound.
type Loan struct {
	budget   *Budget
	peer     string
	end      func() // interrupts the reading of the message; nil if it ends by the error of Resize
	large    bool   // it has had counted bytes
	reserved int64  // bytes that it has even if it takes fewer

	// Guarded by the budget's mutex.
	counted int64
	whole   bool
	ended   bool
}

// Free returns the number of bytes that no message takes.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit - b.used
}

// Open returns a loan without bytes for a message of a peer. end is called, from any
// goroutine, when an answer must be given up; it must not block. It may be nil for bodies. The
// loan must be closed.
func (b *Budget) Open(peer string, end func()) *Loan {
	if b == nil {
		return nil
	}
	return &Loan{budget: b, peer: peer, end: end}
}

// Reserve sets the number of bytes that the message has from now on, also before they have
// come. Errors are those of Resize.
func (l *Loan) Reserve(size int64) (err error) {
	if l == nil {
		return nil
	}
	l.reserved = size
	return l.Resize(size)
}

// Resize sets the number of bytes that the message takes. The error is ErrUsedUp if it must be
// given up, and ErrTooLarge if it alone is larger than the budget.
func (l *Loan) Resize(size int64) (err error) {
	if l == nil {
		return nil
	}
	b := l.budget
	size = max(size, l.reserved)
	if size <= b.free && !l.large {
		return nil
	}
	l.large = true
	ended := []*Loan{}
	b.mu.Lock()
	switch counted := max(size-b.free, 0); {
	case l.ended:
	case b.bodies && counted > b.limit:
		b.mu.Unlock()
		return ErrTooLarge
	case b.bodies && !b.hasRoom(l, counted):
		l.ended = true
		b.set(l, 0)
	default:
		b.set(l, counted)
		ended = b.makeRoom()
	}
	if l.ended {
		err = ErrUsedUp
	}
	b.mu.Unlock()
	for _, other := range ended {
		other.end()
	}
	return err
}

// Keep notes that the answer was read to its end. It isn't ended for others any more. The
// error is ErrUsedUp if it was ended before.
func (l *Loan) Keep() (err error) {
	if l == nil || !l.large {
		return nil
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.ended {
		return ErrUsedUp
	}
	l.whole = true
	return nil
}

// Close gives the bytes back. Further calls do nothing.
func (l *Loan) Close() {
	if l == nil || !l.large {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.set(l, 0)
	l.ended = true
}

// hasRoom reports whether a body may take a number of bytes: its peer must leave as much for
// all others as it has itself then, unless nobody else has any.
func (b *Budget) hasRoom(l *Loan, counted int64) bool {
	more := counted - l.counted
	left := b.limit - b.used - more
	return more <= 0 || left >= b.peers[l.peer]+more || left >= 0 && b.used == l.counted
}

// set counts a number of bytes for a loan.
func (b *Budget) set(l *Loan, counted int64) {
	b.peers[l.peer] += counted - l.counted
	if b.peers[l.peer] == 0 {
		delete(b.peers, l.peer)
	}
	b.used += counted - l.counted
	l.counted = counted
	if counted == 0 {
		delete(b.loans, l)
		return
	}
	b.loans[l] = true
}

// makeRoom ends answers until the others fit, and returns them. They give back what they
// hold as soon as they notice.
func (b *Budget) makeRoom() (ended []*Loan) {
	for b.used > b.limit {
		largest := b.largest()
		if largest == nil {
			return ended
		}
		largest.ended = true
		b.set(largest, 0)
		ended = append(ended, largest)
	}
	return ended
}

// largest returns the largest answer of the peer with the most bytes, among those that are
// still read; nil if there is none.
func (b *Budget) largest() (found *Loan) {
	peers := map[string]int64{}
	for l := range b.loans {
		if !l.whole {
			peers[l.peer] += l.counted
		}
	}
	for l := range b.loans {
		if !l.whole && (found == nil || cmp.Or(cmp.Compare(peers[l.peer], peers[found.peer]), cmp.Compare(l.counted, found.counted)) > 0) {
			found = l
		}
	}
	return found
}
