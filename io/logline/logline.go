// Package logline provides an asynchronous log writer: a slow or blocked output never
// blocks the code that logs. Lines go to a buffer of bounded size. Lines that don't
// fit are dropped, and a later line tells how many.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the lines that wait to be written.
	maxBufferedBytes = 512 << 10
	// flushInterval is how long a line waits at most while the output doesn't block.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers log lines for an output. Write is safe for concurrent use.
type Writer struct {
	out      io.Writer
	flushing sync.Mutex // serialises writes to the output
	mu       sync.Mutex
	buffered []byte
	spare    []byte // emptied buffer that the next Flush reuses
	dropped  int
	wake     chan struct{}
}

// NewWriter returns a writer and starts the goroutine that writes its lines to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write adds one line to the buffer or drops it. It never waits for the output and
// never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
	} else {
		w.buffered = append(w.buffered, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *Writer) run() {
	for range w.wake {
		time.Sleep(flushInterval)
		w.Flush()
	}
}

// Flush writes the buffered lines to the output and waits for it.
func (w *Writer) Flush() {
	w.flushing.Lock()
	defer w.flushing.Unlock()
	w.mu.Lock()
	lines, dropped := w.buffered, w.dropped
	w.buffered, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines were left out\" count=%d\n", dropped)
	}
	// A failed write of the log can't be logged.
	_, _ = w.out.Write(lines)
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}
