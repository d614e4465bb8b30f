package linkbudget

import (
	"math/bits"
	"sync/atomic"
)

const (
	// sizeClasses is the number of classes of bodies, each four times as large as the one before;
	// the first is up to 255 bytes.
	sizeClasses   = 8
	firstSizeBits = 8
	bitsPerClass  = 2
	// headBytes is what the heads of a request and its answer, a reservation and its reports
	// take in each direction.
	headBytes = 1500
	// firstAnswer is the size of an answer that is assumed before any has been observed.
	firstAnswer = 4 << 10 // bytes
	// answerWeight is the divisor of the weight of one answer in the average.
	answerWeight = 16
)

// answers holds the average bytes of an answer on the wire, by the size of the request's
// body. Of two updates at the same time, one may be lost.
type answers [sizeClasses]atomic.Int64

func sizeClass(body int64) int {
	above := bits.Len64(uint64(max(0, body))) - firstSizeBits
	return min(max(0, (above+bitsPerClass-1)/bitsPerClass), sizeClasses-1)
}

func (a *answers) reset() {
	for i := range a {
		a[i].Store(firstAnswer)
	}
}

func (a *answers) observe(body, bytes int64) {
	average := &a[sizeClass(body)]
	before := average.Load()
	average.Store(before + (bytes-before)/answerWeight)
}

// Work is what a request has cost this VM.
type Work struct {
	Body     int64 // bytes
	Sent     int64 // times that the body was sent to a target or another VM
	Answer   int64 // bytes delivered to the caller
	Parts    int64 // in which the answer was delivered
	Complete bool  // the answer was delivered whole
}

// bytes returns what the work took in each direction of the link.
func (w Work) bytes() int64 {
	if w.Sent == 0 {
		return 0
	}
	return w.Sent*(inParts(w.Body, 0)+headBytes) + inParts(w.Answer, w.Parts)
}
