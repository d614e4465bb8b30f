package logline

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output that blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockedOutput) Write(data []byte) (int, error) {
	<-s.release
	return s.text.Write(data)
}

// TestNeverBlocks checks that a blocked output doesn't block Write, that the buffer
// stays bounded and that the dropped lines are counted.
func TestNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	w.Flush()
	if size := out.text.Len(); size > maxBufferedBytes+1024 {
		t.Errorf("%d bytes were kept", size)
	}
	if !strings.Contains(out.text.String(), `msg="log lines were left out" count=1488`) {
		t.Errorf("the end is %q", out.text.String()[out.text.Len()-80:])
	}
}

// slowOutput keeps what it is given after a pause, as a pipe that is read slowly.
type slowOutput struct {
	text bytes.Buffer
}

func (s *slowOutput) Write(data []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.text.Write(data)
}

// TestFlushesAtOnce flushes from several goroutines while lines are written. Every
// line must be written once, whole and in order.
func TestFlushesAtOnce(t *testing.T) {
	const lines = 300
	out := &slowOutput{}
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	var group sync.WaitGroup
	var want strings.Builder
	for i := range lines {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
		if i%3 == 0 {
			group.Go(w.Flush)
			time.Sleep(200 * time.Microsecond)
		}
	}
	group.Wait()
	w.Flush()
	if got := out.text.String(); got != want.String() {
		t.Errorf("%d bytes were written, want %d, each line once and in order", len(got), want.Len())
	}
}
