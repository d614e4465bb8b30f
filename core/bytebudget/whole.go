package bytebudget

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
)

const (
	// firstPart is the size of the first part of a message of unknown length, and maxPart
	// that of the largest, in bytes. Each part is twice as large as the one before.
	firstPart = 2 << 10
	maxPart   = 256 << 10
)

// ErrTooLarge is the error of a message beyond its own limit, or beyond its whole budget.
var ErrTooLarge = errors.New("the message is too large")

// Whole is a message that was read to its end. It must be closed. A nil one is empty.
type Whole struct {
	parts [][]byte
	size  int64
	loan  *Loan
}

// ReadWhole reads a message of at most limit bytes and keeps it on a loan. length is what the
// message says of its length, negative if it says nothing. Errors are ErrUsedUp,
// ErrTooLarge, and those of the source; the loan is closed then.
func ReadWhole(source io.Reader, length, limit int64, loan *Loan) (w *Whole, err error) {
	w = &Whole{loan: loan}
	if err := w.read(source, length, limit); err != nil {
		loan.Close()
		return nil, err
	}
	return w, nil
}

// FromBytes returns a message that borrows nothing.
func FromBytes(data []byte) *Whole {
	return &Whole{parts: [][]byte{data}, size: int64(len(data))}
}

func (w *Whole) read(source io.Reader, length, limit int64) error {
	if length > limit {
		return fmt.Errorf("%w: its length is %d bytes, more than %d", ErrTooLarge, length, limit)
	}
	allocated, capacity := int64(0), int64(0)
	for {
		capacity = nextPart(capacity, allocated, length)
		allocated += capacity
		if err := w.loan.Resize(allocated); err != nil {
			return err
		}
		part := make([]byte, capacity)
		n, err := fill(part, source)
		w.size += int64(n)
		w.parts = append(w.parts, part[:n])
		if w.size > limit {
			return fmt.Errorf("%w: it has more than %d bytes", ErrTooLarge, limit)
		}
		if err == io.EOF {
			return w.loan.Keep()
		}
		if err != nil {
			return cmp.Or(w.loan.Keep(), err)
		}
	}
}

// nextPart returns the size of the part after one of a size, once a number of bytes has been
// allocated for a message of a length, which is negative if it isn't known.
func nextPart(size, allocated, length int64) int64 {
	if allocated <= length {
		return min(length+1-allocated, maxPart) // a byte more shows the end at once
	}
	return min(max(2*size, firstPart), maxPart)
}

// fill reads until the part is full or the source fails. Unlike io.ReadFull it returns the
// error of the source as it is: a message that was cut off isn't one that has ended.
func fill(part []byte, source io.Reader) (n int, err error) {
	for n < len(part) && err == nil {
		var read int
		read, err = source.Read(part[n:])
		n += read
	}
	return n, err
}

// Size returns the number of bytes.
func (w *Whole) Size() int64 {
	if w == nil {
		return 0
	}
	return w.size
}

// Bytes returns a copy of the message in one piece.
func (w *Whole) Bytes() []byte {
	if w == nil {
		return nil
	}
	return slices.Concat(w.parts...)
}

// WriteTo writes the message.
func (w *Whole) WriteTo(out io.Writer) (written int64, err error) {
	if w == nil {
		return 0, nil
	}
	for _, part := range w.parts {
		n, err := out.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close gives the bytes back. Further calls do nothing.
func (w *Whole) Close() {
	if w == nil {
		return
	}
	w.loan.Close()
}
