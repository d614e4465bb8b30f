package upstream

import (
	"errors"
	"io"
	"math"
)

// unbounded is a number of bytes that no connection reaches.
const unbounded = math.MaxInt64

var errHeadTooLarge = errors.New("it is too large")

// boundedReader reads from a source until a number of bytes is used up. The number may be
// set anew between reads.
type boundedReader struct {
	source io.Reader
	left   int64 // bytes
}

// Read reads at most the bytes that are left, and fails if there are none.
func (b *boundedReader) Read(into []byte) (n int, err error) {
	if b.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err = b.source.Read(into[:min(int64(len(into)), b.left)])
	b.left -= int64(n)
	return n, err
}
