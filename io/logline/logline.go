// Package logline writes log lines without ever blocking those that log. Lines
// go to a buffer of bounded size; what doesn't fit is counted and the count is
// logged.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// capacity bounds the lines that wait to be written, in bytes.
	capacity = 512 << 10
	// flushEvery is how long a line waits at most while the output takes lines.
	flushEvery = 100 * time.Millisecond
)

// Writer is a buffer in front of an output.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
	wake    chan struct{}
}

// NewWriter returns a writer and starts to empty it into an output.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write takes one line in. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > capacity {
		w.dropped++
	} else {
		w.waiting = append(w.waiting, line...)
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
		time.Sleep(flushEvery)
		w.Flush()
	}
}

// Flush writes what waits.
func (w *Writer) Flush() {
	w.mu.Lock()
	lines, dropped := w.waiting, w.dropped
	w.waiting, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines were left out\" count=%d\n", dropped)
	}
	// There is nowhere left to tell of a failed write.
	_, _ = w.out.Write(lines)
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}
